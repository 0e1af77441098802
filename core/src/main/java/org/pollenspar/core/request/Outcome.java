package org.pollenspar.core.request;

import java.util.List;
import java.util.Optional;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.process.PollensparError;

/** The outcome of a request as the caller is told: exactly one of done, not run and unknown. */
public sealed interface Outcome {

  /**
   * The work was done and its results are complete.
   *
   * @param results one table per statement
   * @param position log position of the write, for the session token; empty for reads
   * @param servedBy id of the database that did the work
   * @param role role of that database when it did the work
   */
  record Done(
      List<ResultTable> results, Optional<Position> position, String servedBy, DatabaseRole role)
      implements Outcome {}

  /**
   * The work was not run and will not be run later.
   *
   * @param error reason and remedy
   * @param retryAfterMillis time after which a retry may succeed; 0 if a retry cannot help
   */
  record NotRun(PollensparError error, long retryAfterMillis) implements Outcome {}

  /**
   * The write may or may not have run; a retry with the same key can tell which.
   *
   * @param error reason and remedy
   */
  record Unknown(PollensparError error) implements Outcome {}
}
