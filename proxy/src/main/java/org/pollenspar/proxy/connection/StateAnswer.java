package org.pollenspar.proxy.connection;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.request.ResultTable;

/**
 * The answer to the database function {@code pollenspar.state} or {@code pollenspar.wait_state}.
 *
 * @param nonce nonce of the query, repeated by the database
 * @param state state of the database when it answered
 */
record StateAnswer(String nonce, DatabaseState state) {
  private static final List<String> COLUMNS =
      List.of(
          "nonce", "database_id", "role", "fenced_term", "log_term", "log_offset", "connections");

  static String query(String nonce) {
    return "SELECT * FROM pollenspar.state('" + nonce + "')";
  }

  /** Returns a query that waits until the log exceeds an offset, a term changes or time is up. */
  static String waitQuery(String nonce, long afterOffset, long timeoutMillis) {
    return "SELECT * FROM pollenspar.wait_state('"
        + nonce
        + "', "
        + afterOffset
        + ", "
        + timeoutMillis
        + ")";
  }

  /** Parses a result; empty if it is not exactly one complete state row. */
  static Optional<StateAnswer> parse(ResultTable table) {
    if (!table.columns().equals(COLUMNS) || table.rows().size() != 1) {
      return Optional.empty();
    }
    List<@Nullable String> row = table.rows().get(0);
    try {
      return Optional.of(
          new StateAnswer(
              text(row, 0),
              new DatabaseState(
                  text(row, 1),
                  DatabaseRole.ofWireName(text(row, 2)),
                  Long.parseLong(text(row, 3)),
                  Long.parseLong(text(row, 4)),
                  Long.parseLong(text(row, 5)),
                  Integer.parseInt(text(row, 6)))));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static String text(List<@Nullable String> row, int index) {
    String cell = row.get(index);
    if (cell == null) {
      throw new IllegalArgumentException("null in column " + COLUMNS.get(index));
    }
    return cell;
  }
}
