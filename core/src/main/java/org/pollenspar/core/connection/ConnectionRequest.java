package org.pollenspar.core.connection;

import org.pollenspar.core.request.AnswerCode;

/** Work that waits for a connection to one database. */
public interface ConnectionRequest {
  /** Returns the rank; 0 is the most urgent. */
  int priority();

  /** Returns how long it may wait for a connection before the result is of no use. */
  long maxWaitNanos();

  /** Returns the session whose values a connection should have if there is a choice. */
  SessionState sessionState();

  /** Receives the connection. */
  void granted(PooledDatabaseConnection connection);

  /** Is told that there will be no connection; nothing was sent. */
  void refused(AnswerCode code, String reason);
}
