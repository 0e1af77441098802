package org.pollenspar.core.request;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.Position;

/**
 * The complete answer to one statement.
 *
 * @param code outcome
 * @param rows data rows, unchanged from the database
 * @param detail signature of the database on success, else a text for people
 * @param state transaction state after the statement
 * @param position end of the database's log when it answered; null if not stated
 */
public record Answer(
    AnswerCode code,
    List<String> rows,
    String detail,
    TransactionState state,
    @Nullable Position position) {

  /** Signature of statements that no database has to run. */
  public static final String UNSIGNED = "-";

  /** Returns the success of a statement that no database had to run. */
  public static Answer local(TransactionState state) {
    return new Answer(AnswerCode.OK, List.of(), UNSIGNED, state, null);
  }

  /** Returns a refusal or failure. */
  public static Answer error(AnswerCode code, String detail, TransactionState state) {
    return new Answer(code, List.of(), detail, state, null);
  }

  /** Returns whether the statement succeeded. */
  public boolean ok() {
    return code == AnswerCode.OK;
  }
}
