package org.pollenspar.core.request;

/** What a caller asks for within a session, one statement at a time. */
public sealed interface SessionStatement {
  /** Opens a transaction. A read-only one may run on a replica. */
  record Begin(boolean readOnly) implements SessionStatement {}

  /** Makes the writes of the transaction permanent. */
  record Commit() implements SessionStatement {}

  /** Drops the transaction. */
  record Rollback() implements SessionStatement {}

  /** Reads an item; {@code text} is forwarded unchanged. */
  record Read(String text) implements SessionStatement {}

  /** Writes an item; {@code text} is forwarded unchanged. */
  record Write(String text) implements SessionStatement {}

  /** Sets a value of the session. */
  record SetValue(String name, String value) implements SessionStatement {}

  /** Declares a statement of a shape under a name of the caller's choice. */
  record Prepare(String name, PreparedShape shape) implements SessionStatement {}

  /** Runs a prepared statement; {@code arguments} are forwarded unchanged. */
  record Execute(String name, String arguments) implements SessionStatement {}

  /** Forgets a prepared statement. */
  record Close(String name) implements SessionStatement {}

  /** A statement that could not be understood. */
  record Invalid(String reason) implements SessionStatement {}
}
