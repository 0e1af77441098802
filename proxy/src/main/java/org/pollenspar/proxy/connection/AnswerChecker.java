package org.pollenspar.proxy.connection;

import java.sql.SQLException;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.ResultTable;
import org.pollenspar.core.request.Statement;
import org.postgresql.util.PSQLException;
import org.postgresql.util.ServerErrorMessage;

/**
 * Checks that an answer of a database belongs to its request and is complete (invariant P4), and
 * builds the errors that reads and writes have in common.
 *
 * <p>Each request contains a query for the state of the database with a nonce, which the database
 * repeats in its answer. Without the nonce the answer to an earlier request could be taken for the
 * answer to this one, since the protocol has no request ids.
 */
final class AnswerChecker {
  private final Supplier<String> nonces;
  private final InvariantChecker invariants;

  /**
   * Creates a checker.
   *
   * @param nonces returns a new nonce on each call; safe for use by several threads
   */
  AnswerChecker(Supplier<String> nonces, InvariantChecker invariants) {
    this.nonces = nonces;
    this.invariants = invariants;
  }

  String newNonce() {
    return nonces.get();
  }

  /**
   * Returns the state in an answer after checking that the answer has the expected number of
   * results and carries the nonce.
   *
   * @param index index of the state among the results
   * @throws AnswerFault if a check fails; the connection is marked as broken
   */
  DatabaseState checkedState(
      DatabaseConnection connection, List<ResultTable> tables, int count, int index, String nonce)
      throws SQLException {
    Optional<StateAnswer> answer =
        tables.size() == count ? StateAnswer.parse(tables.get(index)) : Optional.empty();
    boolean matches = answer.isPresent() && answer.get().nonce().equals(nonce);
    boolean holds =
        invariants.check(
            Invariant.ANSWER_MATCHES_REQUEST,
            matches,
            () -> "expected " + count + " results with nonce " + nonce + ", got " + answer);
    if (!holds || answer.isEmpty()) {
      connection.markBroken();
      throw new AnswerFault("the answer lacks the expected nonce or number of results");
    }
    return answer.get().state();
  }

  /** Returns an error for the first statement whose number of rows is not as expected. */
  static Optional<PollensparError> rowCountFault(
      List<Statement> statements, List<ResultTable> tables) {
    for (int i = 0; i < statements.size(); i++) {
      int expected = statements.get(i).expectedRows();
      ResultTable table = tables.get(i);
      long rows = table.columns().isEmpty() ? table.updated() : table.rows().size();
      if (expected != Statement.ANY_ROWS && rows != expected) {
        return Optional.of(PollensparError.of(ErrorKind.ROW_COUNT_MISMATCH, i + 1, rows, expected));
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the error for a statement that the database refused.
   *
   * @param prefix length in characters of the query text before the first statement
   */
  static PollensparError statementRefused(SQLException e, List<Statement> statements, int prefix) {
    String text = reason(e) + " (SQLSTATE " + e.getSQLState() + ")";
    return PollensparError.of(ErrorKind.STATEMENT_REFUSED, number(e, statements, prefix), text);
  }

  /**
   * Returns the number of the refused statement, counted from 1. It follows from the position that
   * the database reports within the text of the whole query, if it reports one.
   */
  private static String number(SQLException e, List<Statement> statements, int prefix) {
    if (statements.size() == 1) {
      return "1";
    }
    ServerErrorMessage message =
        e instanceof PSQLException error ? error.getServerErrorMessage() : null;
    int position = message == null ? 0 : message.getPosition();
    int end = prefix;
    for (int i = 0; i < statements.size() && position > 0; i++) {
      end += statements.get(i).sql().length() + "; ".length();
      if (position <= end) {
        return Integer.toString(i + 1);
      }
    }
    return "(one of " + statements.size() + ")";
  }

  static PollensparError databaseFailed(String databaseId, Throwable e) {
    return PollensparError.of(ErrorKind.DATABASE_FAILED, databaseId, reason(e));
  }

  /** Returns the first line of a failure's message, or the name of its class if it has none. */
  static String reason(Throwable e) {
    ServerErrorMessage server =
        e instanceof PSQLException error ? error.getServerErrorMessage() : null;
    String message = server == null ? e.getMessage() : server.getMessage();
    return message == null
        ? e.getClass().getSimpleName()
        : message.lines().findFirst().orElse(e.getClass().getSimpleName());
  }
}
