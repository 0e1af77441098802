package org.pollenspar.core.request;

import java.util.List;
import java.util.Optional;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.process.PollensparError;

/** What a caller is told: done, not run, or outcome unknown. Nothing else exists. */
public sealed interface Outcome {

  /**
   * The work was done and the answer is whole.
   *
   * @param results one table a statement
   * @param position position to add to the session's token; empty for reads
   * @param servedBy database that served it
   * @param role role of that database
   */
  record Done(
      List<ResultTable> results, Optional<Position> position, String servedBy, DatabaseRole role)
      implements Outcome {}

  /**
   * Nothing was run, and nothing will be.
   *
   * @param error reason and remedy
   * @param retryAfterMillis when to try again; 0 if trying again cannot help
   */
  record NotRun(PollensparError error, long retryAfterMillis) implements Outcome {}

  /**
   * The write may or may not have been run; asking again with the same key settles it.
   *
   * @param error reason and remedy
   */
  record Unknown(PollensparError error) implements Outcome {}
}
