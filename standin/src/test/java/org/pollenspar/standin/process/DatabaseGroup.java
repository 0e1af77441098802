package org.pollenspar.standin.process;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.pollenspar.core.process.Closer;

/** A group of database stand-ins for tests; the first one is the primary of term 1. */
final class DatabaseGroup implements AutoCloseable {
  private static final int AWAIT_SECONDS = 20;

  private final Closer closer = new Closer();
  private final List<DatabaseStandin> databases = new ArrayList<>();

  DatabaseGroup(int size) {
    for (int i = 0; i < size; i++) {
      databases.add(closer.register(new DatabaseStandin(DatabaseOptions.immediate("d" + i))));
    }
    promote(0, 1);
  }

  DatabaseStandin database(int index) {
    return databases.get(index);
  }

  boolean promote(int index, long term) {
    List<ReplicationPeer> peers = new ArrayList<>();
    for (int i = 0; i < databases.size(); i++) {
      if (i != index) {
        peers.add(database(i).peer());
      }
    }
    return database(index).promote(term, peers);
  }

  Connection connect(int index) throws SQLException {
    Connection connection = DriverManager.getConnection(database(index).jdbcUrl(), "test", "");
    return closer.register(connection);
  }

  /**
   * Runs a query text and returns all results, separated by " ; ": rows as {@code [a|b,c|d]},
   * otherwise update counts.
   */
  static String run(Connection connection, String sql) throws SQLException {
    try (Statement statement = connection.createStatement()) {
      StringJoiner results = new StringJoiner(" ; ");
      boolean rows = statement.execute(sql);
      while (rows || statement.getUpdateCount() >= 0) {
        results.add(rows ? rows(statement.getResultSet()) : "" + statement.getUpdateCount());
        rows = statement.getMoreResults();
      }
      return results.toString();
    }
  }

  private static String rows(ResultSet results) throws SQLException {
    StringJoiner rows = new StringJoiner(",", "[", "]");
    while (results.next()) {
      StringJoiner row = new StringJoiner("|");
      for (int i = 1; i <= results.getMetaData().getColumnCount(); i++) {
        row.add(results.getString(i));
      }
      rows.add(row.toString());
    }
    return rows.toString();
  }

  /**
   * Waits for a condition that becomes true eventually; the limit is no expectation, it only ends a
   * run that hangs.
   */
  static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("the awaited condition did not become true");
      }
      Thread.sleep(5);
    }
  }

  @Override
  public void close() {
    closer.close();
  }
}
