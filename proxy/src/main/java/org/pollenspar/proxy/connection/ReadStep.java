package org.pollenspar.proxy.connection;

import java.sql.SQLException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.ResultTable;
import org.pollenspar.core.request.Statement;

/**
 * The single round trip of a read: a query for the database state, followed by the statements. The
 * state comes first, so that the statements see at least the position that it reports.
 */
final class ReadStep {
  private final AnswerChecker checker;

  ReadStep(AnswerChecker checker) {
    this.checker = checker;
  }

  ReadAnswer run(
      DatabaseConnection connection,
      String databaseId,
      List<Statement> statements,
      Duration timeout) {
    String nonce = checker.newNonce();
    String prefix = StateAnswer.query(nonce) + "; ";
    String text =
        prefix + statements.stream().map(Statement::sql).collect(Collectors.joining("; "));
    try {
      List<ResultTable> tables = connection.query(text, timeout);
      DatabaseState state =
          checker.checkedState(connection, tables, statements.size() + 1, 0, nonce);
      List<ResultTable> results = List.copyOf(tables.subList(1, tables.size()));
      Optional<PollensparError> fault = AnswerChecker.rowCountFault(statements, results);
      return fault
          .<ReadAnswer>map(ReadAnswer.Refused::new)
          .orElseGet(() -> new ReadAnswer.Answered(state, results));
    } catch (SQLException e) {
      return SqlState.of(e).refusesStatement()
          ? new ReadAnswer.Refused(AnswerChecker.statementRefused(e, statements, prefix.length()))
          : new ReadAnswer.Failed(AnswerChecker.databaseFailed(databaseId, e));
    }
  }
}
