package org.pollenspar.core.connection;

import org.pollenspar.core.request.AnswerCode;

/** Request for a connection from the pool of one database. */
public interface ConnectionRequest {
  /** Returns the rank; 0 is the most urgent. */
  int priority();

  /** Returns how long the request may wait for a connection and still be answered in time. */
  long maxWaitNanos();

  /** Returns the session state; among the idle connections, one with equal values is preferred. */
  SessionState sessionState();

  /** Returns the organisation that the connection must belong to. */
  default String organisation() {
    return sessionState().organisation();
  }

  /** The connection is reserved for this request until it is released or discarded. */
  void granted(PooledDatabaseConnection connection);

  /** The request gets no connection; nothing was sent to the database. */
  void refused(AnswerCode code, String reason);
}
