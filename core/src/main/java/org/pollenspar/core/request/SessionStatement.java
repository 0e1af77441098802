package org.pollenspar.core.request;

/** A statement of a caller within a session. */
public sealed interface SessionStatement {
  /** Opens a transaction. A read-only one may run on a replica. */
  record Begin(boolean readOnly) implements SessionStatement {}

  /** Commits the open transaction. */
  record Commit() implements SessionStatement {}

  /** Rolls the open transaction back. */
  record Rollback() implements SessionStatement {}

  /** Reads an item; {@code text} is forwarded unchanged. */
  record Read(String text) implements SessionStatement {}

  /** Writes an item; {@code text} is forwarded unchanged. */
  record Write(String text) implements SessionStatement {}

  /** Sets a session variable. */
  record SetValue(String name, String value) implements SessionStatement {}

  /** Prepares a statement under a name that the caller chose. */
  record Prepare(String name, PreparedShape shape) implements SessionStatement {}

  /** Runs a prepared statement; {@code arguments} are forwarded unchanged. */
  record Execute(String name, String arguments) implements SessionStatement {}

  /** Closes a prepared statement. */
  record Close(String name) implements SessionStatement {}

  /** A statement that could not be parsed. */
  record Invalid(String reason) implements SessionStatement {}
}
