package org.pollenspar.proxy.connection;

import java.sql.SQLException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.KeyRecord;
import org.pollenspar.core.request.ResultTable;
import org.pollenspar.core.request.Statement;
import org.pollenspar.core.request.WriteEvent;
import org.pollenspar.proxy.request.ResultJson;

/**
 * The round trips of a write, each run on the I/O thread of its connection.
 *
 * <ol>
 *   <li>{@link #open}: begins the transaction and inserts the record of the idempotency key. The
 *       insertion fails if the key has a record, so of several attempts only one can commit.
 *   <li>{@link #run}: runs the statements and checks their row counts.
 *   <li>{@link #commit}: stores the results in the key's record and commits.
 * </ol>
 *
 * <p>Each round trip is one simple query and includes a query for the database state, whose nonce
 * shows that the answer belongs to the request. The state after a commit has the position that a
 * majority must hold. Failures are returned as events; what they mean for the write is decided by
 * {@link org.pollenspar.core.request.WriteStateMachine} alone.
 */
public final class WriteSteps {
  private final AnswerChecker checker;
  private final InvariantChecker invariants;
  private final LongSupplier wallMillis;

  /**
   * Creates the steps.
   *
   * @param wallMillis wall clock in milliseconds, for the age of idempotency records
   */
  WriteSteps(AnswerChecker checker, InvariantChecker invariants, LongSupplier wallMillis) {
    this.checker = checker;
    this.invariants = invariants;
    this.wallMillis = wallMillis;
  }

  /** Step 1: begins the transaction, reads the state, looks the key up and inserts its record. */
  WriteEvent open(DatabaseConnection connection, WriteAttempt attempt, Duration timeout) {
    return guarded(
        attempt,
        () -> {
          String nonce = checker.newNonce();
          String text =
              "BEGIN; "
                  + StateAnswer.query(nonce)
                  + "; "
                  + lookupQuery(attempt)
                  + "; "
                  + insert(attempt, "");
          List<ResultTable> tables;
          try {
            tables = connection.query(text, timeout);
          } catch (SQLException e) {
            return afterDuplicate(e, connection, attempt, timeout);
          }
          return new WriteEvent.Opened(checker.checkedState(connection, tables, 4, 1, nonce));
        });
  }

  /** Step 2: runs the statements and reads the state, which only serves to check the answer. */
  WriteEvent run(
      DatabaseConnection connection,
      WriteAttempt attempt,
      List<Statement> statements,
      Duration timeout) {
    return guarded(
        attempt,
        () -> {
          String nonce = checker.newNonce();
          String text =
              statements.stream().map(Statement::sql).collect(Collectors.joining("; "))
                  + "; "
                  + StateAnswer.query(nonce);
          List<ResultTable> tables;
          try {
            tables = connection.query(text, timeout);
          } catch (SQLException e) {
            if (!SqlState.of(e).refusesStatement()) {
              throw e;
            }
            connection.query("ROLLBACK", timeout);
            return new WriteEvent.StatementsRejected(
                AnswerChecker.statementRefused(e, statements, 0));
          }
          int count = statements.size();
          checker.checkedState(connection, tables, count + 1, count, nonce);
          List<ResultTable> results = List.copyOf(tables.subList(0, count));
          Optional<PollensparError> fault = AnswerChecker.rowCountFault(statements, results);
          if (fault.isPresent()) {
            connection.query("ROLLBACK", timeout);
            return new WriteEvent.StatementsRejected(fault.get());
          }
          return new WriteEvent.StatementsMatched(results);
        });
  }

  /** Step 3: stores the results in the key's record, commits and reads the state. */
  WriteEvent commit(
      DatabaseConnection connection,
      WriteAttempt attempt,
      List<ResultTable> results,
      Duration timeout) {
    return guarded(
        attempt,
        () -> {
          String nonce = checker.newNonce();
          String text =
              "UPDATE pollenspar.keys SET result = "
                  + literal(ResultJson.record(results))
                  + " WHERE key = "
                  + literal(attempt.key())
                  + "; COMMIT; "
                  + StateAnswer.query(nonce);
          List<ResultTable> tables = connection.query(text, timeout);
          DatabaseState state = checker.checkedState(connection, tables, 3, 2, nonce);
          long records = tables.get(0).updated();
          if (!invariants.check(
              Invariant.AT_MOST_ONCE,
              records == 1,
              () -> records + " records updated for key " + attempt.key())) {
            throw new AnswerFault("the key has " + records + " records instead of one");
          }
          return new WriteEvent.Committed(state);
        });
  }

  /** Commits a record of the key with the result "not run", so that no other attempt can commit. */
  WriteEvent recordNotRun(
      DatabaseConnection connection,
      WriteAttempt attempt,
      PollensparError error,
      Duration timeout) {
    return guarded(
        attempt,
        () -> {
          String nonce = checker.newNonce();
          String text =
              "BEGIN; "
                  + insert(attempt, ResultJson.record(error))
                  + "; COMMIT; "
                  + StateAnswer.query(nonce);
          List<ResultTable> tables;
          try {
            tables = connection.query(text, timeout);
          } catch (SQLException e) {
            return afterDuplicate(e, connection, attempt, timeout);
          }
          return new WriteEvent.Committed(checker.checkedState(connection, tables, 4, 3, nonce));
        });
  }

  /** Looks up the record that caused a duplicate key error; throws any other failure again. */
  private WriteEvent afterDuplicate(
      SQLException e, DatabaseConnection connection, WriteAttempt attempt, Duration timeout)
      throws SQLException {
    if (SqlState.of(e) != SqlState.DUPLICATE_KEY) {
      throw e;
    }
    String nonce = checker.newNonce();
    String text = "ROLLBACK; " + lookupQuery(attempt) + "; " + StateAnswer.query(nonce);
    List<ResultTable> tables = connection.query(text, timeout);
    DatabaseState state = checker.checkedState(connection, tables, 3, 2, nonce);
    List<? extends List<@Nullable String>> rows = tables.get(1).rows();
    if (rows.isEmpty()) {
      return new WriteEvent.KeyBusy();
    }
    return record(rows.get(0))
        .<WriteEvent>map(record -> new WriteEvent.KeyFound(record, state))
        .orElseGet(
            () ->
                new WriteEvent.Failed(
                    PollensparError.of(
                        ErrorKind.DATABASE_FAILED,
                        attempt.databaseId(),
                        "the idempotency record of the key has an unknown format")));
  }

  private static Optional<KeyRecord> record(List<@Nullable String> row) {
    String fingerprint = row.size() == 2 ? row.get(0) : null;
    String result = row.size() == 2 ? row.get(1) : null;
    if (fingerprint == null || result == null) {
      return Optional.empty();
    }
    return ResultJson.parseRecord(result)
        .map(
            parsed ->
                new KeyRecord(
                    fingerprint,
                    parsed.<KeyRecord.Result>fold(
                        KeyRecord.Result.NotRun::new, KeyRecord.Result.Ran::new)));
  }

  private WriteEvent guarded(WriteAttempt attempt, Step step) {
    try {
      return step.run();
    } catch (SQLException e) {
      return SqlState.of(e) == SqlState.NOT_PRIMARY
          ? new WriteEvent.NotPrimary()
          : new WriteEvent.Failed(AnswerChecker.databaseFailed(attempt.databaseId(), e));
    }
  }

  private static String lookupQuery(WriteAttempt attempt) {
    return "SELECT fingerprint, result FROM pollenspar.keys WHERE key = " + literal(attempt.key());
  }

  private String insert(WriteAttempt attempt, String result) {
    return "INSERT INTO pollenspar.keys (key, fingerprint, result, created_ms) VALUES ("
        + literal(attempt.key())
        + ", "
        + literal(attempt.fingerprint())
        + ", "
        + literal(result)
        + ", "
        + wallMillis.getAsLong()
        + ")";
  }

  /** Quotes a text. Databases use standard_conforming_strings, so only quotes need escaping. */
  private static String literal(String text) {
    return "'" + text.replace("'", "''") + "'";
  }

  /** A step that may fail with an error of the database. */
  @FunctionalInterface
  private interface Step {
    WriteEvent run() throws SQLException;
  }
}
