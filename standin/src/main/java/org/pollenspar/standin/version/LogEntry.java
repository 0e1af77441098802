package org.pollenspar.standin.version;

import java.util.List;
import org.pollenspar.core.connection.Position;

/**
 * One entry of the replicated log: a committed transaction.
 *
 * @param term term of the primary that committed it
 * @param offset index in the log, from 1, not restarted by a new term
 * @param changes changes in the order of application; empty for the first entry of a term
 */
public record LogEntry(long term, long offset, List<Change> changes) {

  public Position position() {
    return new Position(term, offset);
  }
}
