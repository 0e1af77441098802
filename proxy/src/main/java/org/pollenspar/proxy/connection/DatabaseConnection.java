package org.pollenspar.proxy.connection;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.ResultSetMetaData;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.ResultTable;
import org.postgresql.core.BaseConnection;
import org.postgresql.core.TransactionState;
import org.postgresql.util.PSQLException;

/**
 * A JDBC connection that sends each text as one PostgreSQL simple query, so that several statements
 * take one round trip.
 *
 * <p>After an error the connection stays usable only if the server itself reported the error with
 * severity ERROR, since its answer is complete then. After any other failure (timeout, lost
 * connection, FATAL, malformed answer) the rest of the answer could still arrive and be taken for
 * the answer to the next request.
 *
 * <p>Used by one thread at a time; only {@link #abort} may be called by another thread.
 */
public final class DatabaseConnection implements AutoCloseable {
  /** The driver closes the connection on larger answers, so that none can exhaust the heap. */
  private static final String MAX_ANSWER_BYTES = "16M";

  private static final int MAX_ROWS = 10_000;

  private final Connection connection;
  private volatile boolean broken;

  private DatabaseConnection(Connection connection) {
    this.connection = connection;
  }

  /**
   * Opens a connection.
   *
   * @throws SQLException if a step of the login fails or takes longer than the connect timeout
   */
  public static DatabaseConnection open(DatabaseAddress address, DatabaseLogin login)
      throws SQLException {
    long timeoutSeconds = Math.max(1, login.connectTimeout().toSeconds());
    Properties properties = new Properties();
    properties.setProperty("user", login.user());
    properties.setProperty("password", login.password());
    properties.setProperty("preferQueryMode", "simple");
    properties.setProperty("assumeMinServerVersion", "14");
    properties.setProperty("ApplicationName", "pollenspar");
    properties.setProperty("sslmode", "disable");
    properties.setProperty("gssEncMode", "disable");
    properties.setProperty("connectTimeout", Long.toString(timeoutSeconds));
    properties.setProperty("socketTimeout", Long.toString(timeoutSeconds));
    properties.setProperty("maxResultBuffer", MAX_ANSWER_BYTES);
    String url =
        "jdbc:postgresql://" + address.address() + ":" + address.port() + "/" + login.database();
    return new DatabaseConnection(DriverManager.getConnection(url, properties));
  }

  /**
   * Sends a text as one simple query and reads the complete answer.
   *
   * @param timeout longest wait for further bytes of the answer
   * @return one table per statement in the text
   */
  public List<ResultTable> query(String text, Duration timeout) throws SQLException {
    try {
      return send(text, timeout);
    } catch (SQLException e) {
      broken |= !reusableAfter(e);
      throw e;
    } catch (RuntimeException | Error e) {
      broken = true;
      throw e;
    }
  }

  private List<ResultTable> send(String text, Duration timeout) throws SQLException {
    connection.setNetworkTimeout(Runnable::run, (int) Math.max(1, timeout.toMillis()));
    try (Statement statement = connection.createStatement()) {
      statement.setEscapeProcessing(false);
      statement.setMaxRows(MAX_ROWS + 1);
      List<ResultTable> tables = new ArrayList<>();
      boolean rows = statement.execute(text);
      while (true) {
        if (rows) {
          tables.add(readTable(statement));
        } else {
          long updated = statement.getLargeUpdateCount();
          if (updated < 0) {
            return tables;
          }
          tables.add(new ResultTable(List.of(), List.of(), updated));
        }
        rows = statement.getMoreResults();
      }
    }
  }

  private static ResultTable readTable(Statement statement) throws SQLException {
    try (ResultSet set = statement.getResultSet()) {
      ResultSetMetaData meta = set.getMetaData();
      int width = meta.getColumnCount();
      List<String> columns = new ArrayList<>(width);
      for (int i = 1; i <= width; i++) {
        columns.add(meta.getColumnLabel(i));
      }
      List<List<@Nullable String>> rows = new ArrayList<>();
      while (set.next()) {
        if (rows.size() == MAX_ROWS) {
          throw new SQLException("the result exceeds the limit of " + MAX_ROWS + " rows", "54000");
        }
        List<@Nullable String> row = new ArrayList<>(width);
        for (int i = 1; i <= width; i++) {
          row.add(set.getString(i));
        }
        rows.add(row);
      }
      return new ResultTable(columns, rows, 0);
    }
  }

  /** Returns whether the server sent the error and its answer is complete. */
  private static boolean reusableAfter(SQLException e) {
    if (!(e instanceof PSQLException error) || error.getServerErrorMessage() == null) {
      return false;
    }
    String severity = error.getServerErrorMessage().getSeverity();
    return "ERROR".equals(severity);
  }

  /** Marks the connection as unusable, because answers no longer match requests. */
  void markBroken() {
    broken = true;
  }

  /** Returns whether another request may use the connection: it works and has no transaction. */
  public boolean clean() {
    try {
      return !broken
          && !connection.isClosed()
          && connection.unwrap(BaseConnection.class).getTransactionState() == TransactionState.IDLE;
    } catch (SQLException e) {
      return false;
    }
  }

  /** Closes the socket without a terminate message; a thread that reads from it fails at once. */
  public void abort() {
    try {
      connection.abort(Runnable::run);
    } catch (SQLException e) {
      // The connection is closed already.
    }
  }

  @Override
  public void close() {
    abort();
  }
}
