package org.pollenspar.core.request;

import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.Position;

/** A command that pollenspar sends over a database connection. */
public sealed interface DatabaseCommand {
  /** Opens a transaction; if {@code after} is set, only if the log includes that position. */
  record Begin(boolean readOnly, @Nullable Position after) implements DatabaseCommand {}

  /**
   * Forwards a caller's statement.
   *
   * @param id id that the caller gave the statement
   * @param statement a read, write, execution or commit
   * @param preparedAs name of the prepared statement on this connection; null if the statement
   *     executes none
   * @param after position that the log must include for the statement to run; null for none
   */
  record Forward(
      String id, SessionStatement statement, @Nullable String preparedAs, @Nullable Position after)
      implements DatabaseCommand {}

  /** Sets a session variable on the connection. */
  record SetValue(String name, String value) implements DatabaseCommand {}

  /** Prepares a statement under a name that is private to this connection. */
  record Prepare(String name, PreparedShape shape) implements DatabaseCommand {}

  /** Clears the session variables and prepared statements of the connection. */
  record Reset() implements DatabaseCommand {}

  /** Rolls the open transaction back. */
  record Rollback() implements DatabaseCommand {}

  /** Requests role, log position and load, which the first row of the answer contains. */
  record Status() implements DatabaseCommand {}

  /** Demotes a primary of a term below {@code term} to a replica. */
  record StepDown(long term) implements DatabaseCommand {}
}
