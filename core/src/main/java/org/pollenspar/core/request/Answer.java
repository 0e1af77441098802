package org.pollenspar.core.request;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.Position;

/**
 * The complete answer to one statement.
 *
 * @param code outcome
 * @param rows data rows, unchanged from the database
 * @param detail signature of the database if it ran the statement, {@link #UNSIGNED} if none had
 *     to, else an error message
 * @param state transaction state after the statement
 * @param position end of the database's log when it answered; null if the answer does not state it
 * @param earlierMayHaveRun whether the answer is that of a later attempt, and an earlier one may
 *     have run at a database
 */
public record Answer(
    AnswerCode code,
    List<String> rows,
    String detail,
    TransactionState state,
    @Nullable Position position,
    boolean earlierMayHaveRun) {

  /** Detail of a successful answer that no database signed, since none had to run it. */
  public static final String UNSIGNED = "-";

  /** Creates the answer of the only attempt, or of one before which nothing ran. */
  public Answer(
      AnswerCode code,
      List<String> rows,
      String detail,
      TransactionState state,
      @Nullable Position position) {
    this(code, rows, detail, state, position, false);
  }

  /** Returns the answer to a statement that succeeded without a database. */
  public static Answer local(TransactionState state) {
    return new Answer(AnswerCode.OK, List.of(), UNSIGNED, state, null);
  }

  public static Answer error(AnswerCode code, String detail, TransactionState state) {
    return new Answer(code, List.of(), detail, state, null);
  }

  /**
   * Returns this answer as the final one after several attempts.
   *
   * @param anyMayHaveRun whether one of the attempts may have run at a database
   */
  public Answer afterAttempts(boolean anyMayHaveRun) {
    return anyMayHaveRun && nothingRan()
        ? new Answer(code, rows, detail, state, position, true)
        : this;
  }

  /** Returns whether it is certain that no attempt ran at a database. */
  public boolean nothingRan() {
    return code.nothingRan() && !earlierMayHaveRun;
  }

  public boolean ok() {
    return code == AnswerCode.OK;
  }

  /**
   * Returns whether the database's log shows a newer term than the given one, so that the database
   * no longer is the primary of that term. A plain read at a replica succeeds.
   */
  public boolean showsTermAfter(long term) {
    return position != null && position.term() > term;
  }

  /** Returns this answer with another transaction state. */
  public Answer withState(TransactionState newState) {
    return new Answer(code, rows, detail, newState, position, earlierMayHaveRun);
  }

  /** Returns this answer without a position. */
  public Answer withoutPosition() {
    return new Answer(code, rows, detail, state, null, earlierMayHaveRun);
  }
}
