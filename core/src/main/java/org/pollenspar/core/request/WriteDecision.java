package org.pollenspar.core.request;

import java.util.List;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.process.PollensparError;

/** What to do next with one write, as decided by {@link WriteStateMachine}. */
public sealed interface WriteDecision {

  /** Send step 1 and report its answer. */
  record OpenTransaction() implements WriteDecision {}

  /** Send step 2, the statements, and report their results. */
  record RunStatements() implements WriteDecision {}

  /**
   * Send step 3: write the results into the key's record, commit, read the state. From this
   * decision on the commit counts as sent.
   *
   * @param tables results for the record
   */
  record SendCommit(List<ResultTable> tables) implements WriteDecision {}

  /**
   * In a new transaction insert the key with the result "not run", commit, read the state. From
   * this decision on the commit counts as sent. A duplicate key is looked up as in step 1.
   *
   * @param error reason for the record
   */
  record RecordNotRun(PollensparError error) implements WriteDecision {}

  /**
   * Wait until a majority holds the position or a higher term is known.
   *
   * @param position position to wait for
   */
  record AwaitMajority(Position position) implements WriteDecision {}

  /**
   * Close the connection of the attempt and start another one.
   *
   * @param retry whether an earlier attempt may have committed or may still do so; goes along with
   *     the request to another home
   * @param minimumTerm least term of the primary for the next attempt
   */
  record TryAgain(boolean retry, long minimumTerm) implements WriteDecision {}

  /**
   * Answer the caller; roll back and close what still runs.
   *
   * @param outcome the answer
   */
  record Answer(Outcome outcome) implements WriteDecision {}
}
