package org.pollenspar.standin.connection;

import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.standin.connection.BackendWriter.Status;
import org.pollenspar.standin.request.Column;
import org.pollenspar.standin.request.ColumnType;
import org.pollenspar.standin.request.QueryResult;
import org.pollenspar.standin.request.SqlException;
import org.pollenspar.standin.request.SqlParser;
import org.pollenspar.standin.request.SqlStatement;
import org.pollenspar.standin.request.SqlStatement.Control;
import org.pollenspar.standin.request.SqlStatement.OwnedStatement;
import org.pollenspar.standin.version.DatabaseEngine;
import org.pollenspar.standin.version.Transaction;

/**
 * Runs the simple queries of one connection with PostgreSQL's transaction rules. Outside an
 * explicit transaction the statements of one query form one transaction. An error skips the rest of
 * the query and rolls back. An explicit transaction then rejects statements until COMMIT or
 * ROLLBACK ends it; both report ROLLBACK. Only {@link #cancel} may be called from another thread.
 */
final class QueryRunner {
  private static final List<Column> STATE_COLUMNS =
      List.of(
          new Column("nonce", ColumnType.TEXT, false),
          new Column("database_id", ColumnType.TEXT, false),
          new Column("role", ColumnType.TEXT, false),
          new Column("fenced_term", ColumnType.INT8, false),
          new Column("log_term", ColumnType.INT8, false),
          new Column("log_offset", ColumnType.INT8, false),
          new Column("connections", ColumnType.INT4, false));

  private final DatabaseEngine engine;
  private final StatementWorkers workers;
  private volatile @Nullable Transaction transaction;
  private boolean explicit;
  private boolean failed;
  private boolean committed;
  private volatile boolean busy;

  QueryRunner(DatabaseEngine engine, StatementWorkers workers) {
    this.engine = engine;
    this.workers = workers;
  }

  /** Runs a query and writes its results, ending with ReadyForQuery. */
  void run(String sql, BackendWriter out) throws InterruptedException {
    committed = false;
    busy = true;
    try {
      List<OwnedStatement> statements = SqlParser.parse(sql);
      if (statements.isEmpty()) {
        out.emptyQuery();
      }
      for (OwnedStatement statement : statements) {
        out.result(execute(statement));
      }
      if (!explicit) {
        commitOpen();
      }
    } catch (SqlException e) {
      fail();
      out.error("ERROR", e.sqlState(), String.valueOf(e.getMessage()));
    } finally {
      busy = false;
    }
    out.readyForQuery(failed ? Status.FAILED : explicit ? Status.IN_TRANSACTION : Status.IDLE);
  }

  /** Returns whether the last query committed a change. */
  boolean committed() {
    return committed;
  }

  /** Makes the running statement fail, if there is one. */
  void cancel() {
    Transaction open = transaction;
    if (open != null && busy) {
      engine.cancel(open);
    }
  }

  /** Rolls back the open transaction, if any, when the connection ends. */
  void close() {
    rollbackOpen();
  }

  private void fail() {
    rollbackOpen();
    failed = explicit;
  }

  private QueryResult execute(OwnedStatement owned) throws SqlException, InterruptedException {
    SqlStatement statement = owned.statement();
    if (statement instanceof Control control) {
      return control(control);
    }
    if (failed) {
      throw new SqlException(
          "25P02", "current transaction is aborted, commands ignored until end of transaction");
    }
    if (statement instanceof SqlStatement.Setting) {
      return QueryResult.ofTag("SET");
    }
    if (statement instanceof SqlStatement.Show show) {
      return show(show.name());
    }
    if (statement instanceof SqlStatement.StateQuery query) {
      return state(query);
    }
    Transaction open = transaction;
    if (open == null) {
      open = engine.begin(false);
      transaction = open;
    }
    workers.occupyWorker();
    return engine.execute(open, statement, owned.owner());
  }

  private QueryResult control(Control control) throws SqlException {
    switch (control.verb()) {
      case BEGIN:
        explicit = true;
        if (transaction == null && !failed) {
          transaction = engine.begin(control.readOnly());
        }
        return QueryResult.ofTag("BEGIN");
      case COMMIT:
        boolean rolledBack = failed;
        explicit = false;
        failed = false;
        commitOpen();
        return QueryResult.ofTag(rolledBack ? "ROLLBACK" : "COMMIT");
      default:
        explicit = false;
        failed = false;
        rollbackOpen();
        return QueryResult.ofTag("ROLLBACK");
    }
  }

  private void commitOpen() throws SqlException {
    Transaction open = transaction;
    transaction = null;
    if (open != null) {
      committed |= engine.commit(open);
    }
  }

  private void rollbackOpen() {
    Transaction open = transaction;
    transaction = null;
    if (open != null) {
      engine.rollback(open);
    }
  }

  private QueryResult state(SqlStatement.StateQuery query) throws SqlException {
    DatabaseState state =
        query.timeoutMillis() > 0
            ? engine.waitState(query.afterOffset(), query.timeoutMillis())
            : engine.state();
    List<String> row =
        List.of(
            query.nonce(),
            state.databaseId(),
            state.role().wireName(),
            Long.toString(state.fencedTerm()),
            Long.toString(state.logTerm()),
            Long.toString(state.logOffset()),
            Integer.toString(state.connections()));
    return new QueryResult("SELECT 1", STATE_COLUMNS, List.of(row));
  }

  private static QueryResult show(String name) {
    String value =
        switch (name.toLowerCase(Locale.ROOT)) {
          case "transaction isolation level", "transaction_isolation" -> "read committed";
          case "server_version" -> "15.0";
          case "standard_conforming_strings" -> "on";
          default -> "";
        };
    Column column = new Column(name.replace(' ', '_'), ColumnType.TEXT, false);
    return new QueryResult("SHOW", List.of(column), List.of(List.of(value)));
  }
}
