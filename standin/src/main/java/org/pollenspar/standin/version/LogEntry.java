package org.pollenspar.standin.version;

import java.util.List;
import org.pollenspar.core.connection.Position;

/**
 * One committed transaction.
 *
 * @param term term of the primary that committed it
 * @param offset number in the log, counted over all terms, from 1
 * @param changes changes; empty for the entry that opens a term
 */
public record LogEntry(long term, long offset, List<Change> changes) {

  /** Returns the place of the entry. */
  public Position position() {
    return new Position(term, offset);
  }
}
