package org.pollenspar.proxy.connection;

import java.sql.SQLException;
import java.util.Set;

/** Classifies SQLSTATEs by their meaning for a request (PostgreSQL documentation, appendix A). */
enum SqlState {
  TOO_MANY_CONNECTIONS,
  NOT_PRIMARY,
  DUPLICATE_KEY,
  /** The statement itself is at fault; a retry would give the same error. */
  STATEMENT_AT_FAULT,
  /** Anything else: lost connection, timeout, serialization failure, deadlock, shutdown. */
  TRANSIENT;

  /**
   * Classes of errors caused by the statement: unsupported feature (0A), cardinality (21), data
   * (22), integrity constraint (23), syntax or access rule (42), program limit (54).
   */
  private static final Set<String> STATEMENT_CLASSES = Set.of("0A", "21", "22", "23", "42", "54");

  static SqlState of(SQLException e) {
    String state = e.getSQLState();
    if (state == null || state.length() != 5) {
      return TRANSIENT;
    }
    return switch (state) {
      case "53300" -> TOO_MANY_CONNECTIONS;
      case "25006" -> NOT_PRIMARY;
      case "23505" -> DUPLICATE_KEY;
      default -> STATEMENT_CLASSES.contains(state.substring(0, 2)) ? STATEMENT_AT_FAULT : TRANSIENT;
    };
  }

  /** Returns whether a statement that failed in this way is refused instead of retried. */
  boolean refusesStatement() {
    return this == STATEMENT_AT_FAULT || this == DUPLICATE_KEY;
  }
}
