package org.pollenspar.core.request;

import java.util.List;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.process.PollensparError;

/**
 * What to do next with one write, as decided by {@link WriteStateMachine}.
 *
 * <p>An attempt consists of three steps, each one round trip to the primary: {@link
 * OpenTransaction}, {@link RunStatements} and {@link SendCommit}.
 */
public sealed interface WriteDecision {

  /**
   * Step 1: begin a transaction, read the database's state, look up the key and insert it. Report
   * the answer.
   */
  record OpenTransaction() implements WriteDecision {}

  /** Step 2: send the statements and report their results. */
  record RunStatements() implements WriteDecision {}

  /**
   * Step 3: write the results into the key's record, commit, and read the state. From this decision
   * on, the commit counts as sent.
   *
   * @param tables results for the record
   */
  record SendCommit(List<ResultTable> tables) implements WriteDecision {}

  /**
   * In a new transaction, insert the key with the result "not run", commit, and read the state.
   * From this decision on, the commit counts as sent. If the key is a duplicate, look it up as in
   * step 1 and report that.
   *
   * @param error reason to store in the record
   */
  record RecordNotRun(PollensparError error) implements WriteDecision {}

  /**
   * Wait until a majority of the group holds the position or a higher term is known.
   *
   * @param position position to wait for
   */
  record AwaitMajority(Position position) implements WriteDecision {}

  /**
   * Close the connection of the attempt, then start another attempt.
   *
   * @param retry whether an earlier attempt may have committed or may still do so; must be passed
   *     on if the request is forwarded to another home proxy
   * @param minimumTerm lowest term that the primary of the next attempt may have
   */
  record TryAgain(boolean retry, long minimumTerm) implements WriteDecision {}

  /**
   * Answer the caller, and roll back and close an attempt that is still running.
   *
   * @param outcome the answer
   */
  record Answer(Outcome outcome) implements WriteDecision {}
}
