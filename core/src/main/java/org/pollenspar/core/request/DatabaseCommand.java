package org.pollenspar.core.request;

import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.Position;

/** What pollenspar sends over a database connection. */
public sealed interface DatabaseCommand {
  /** Opens a transaction; with {@code after}, only if the log includes that position. */
  record Begin(boolean readOnly, @Nullable Position after) implements DatabaseCommand {}

  /**
   * Forwards a caller's statement.
   *
   * @param id the caller's id
   * @param statement a read, write, execution or commit
   * @param preparedAs name on this connection of the prepared statement to run; null for others
   * @param after run only if the log includes this position; null without condition
   */
  record Forward(
      String id, SessionStatement statement, @Nullable String preparedAs, @Nullable Position after)
      implements DatabaseCommand {}

  /** Sets a session value on the connection. */
  record SetValue(String name, String value) implements DatabaseCommand {}

  /** Prepares a shape under a name of this connection. */
  record Prepare(String name, PreparedShape shape) implements DatabaseCommand {}

  /** Clears values and prepared statements of the connection. */
  record Reset() implements DatabaseCommand {}

  /** Rolls the open transaction back. */
  record Rollback() implements DatabaseCommand {}

  /** Asks for role, positions and load; the answer's first row carries them. */
  record Status() implements DatabaseCommand {}

  /** Makes a primary of a lower term a replica. */
  record StepDown(long term) implements DatabaseCommand {}
}
