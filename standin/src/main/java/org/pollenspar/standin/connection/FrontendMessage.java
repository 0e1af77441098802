package org.pollenspar.standin.connection;

import java.util.Map;

/** A message from the caller of a database. */
sealed interface FrontendMessage {

  /** Start of a session. */
  record Startup(Map<String, String> parameters) implements FrontendMessage {}

  /** Request for encryption, which is declined. */
  record Encryption() implements FrontendMessage {}

  /** Request to cancel the statement of another connection. */
  record Cancel(int processId, int secret) implements FrontendMessage {}

  /** A simple query. */
  record Query(String sql) implements FrontendMessage {}

  /** Sync, which ends a series of messages of the extended protocol. */
  record Sync() implements FrontendMessage {}

  /** A message of the extended protocol or an unknown one. */
  record Unsupported(char type) implements FrontendMessage {}

  /** End of the session. */
  record Terminate() implements FrontendMessage {}
}
