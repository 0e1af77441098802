package org.pollenspar.standin.connection;

import java.util.Map;

/** A message from a client of the database. */
sealed interface FrontendMessage {

  /** Start of a session, with the client's parameters such as user and database. */
  record Startup(Map<String, String> parameters) implements FrontendMessage {}

  /** Request for SSL or GSSAPI encryption, which the server declines. */
  record Encryption() implements FrontendMessage {}

  /** Request to cancel the running statement of another connection. */
  record Cancel(int processId, int secret) implements FrontendMessage {}

  /** A simple query, which may hold several statements. */
  record Query(String sql) implements FrontendMessage {}

  /** Sync, which ends a series of messages of the extended protocol. */
  record Sync() implements FrontendMessage {}

  /** A message of the extended protocol or an unknown one. */
  record Unsupported(char type) implements FrontendMessage {}

  /** End of the session by the client. */
  record Terminate() implements FrontendMessage {}
}
