package org.pollenspar.core.connection;

import org.pollenspar.core.request.AnswerCode;

/**
 * A connection request that holds a permit of the database's broker. The permit is released when
 * the statement has ended, or when the request gets no connection.
 */
final class PermittedRequest implements ConnectionRequest {
  private final ConnectionRequest request;
  private final Runnable releasePermit;

  PermittedRequest(ConnectionRequest request, Runnable releasePermit) {
    this.request = request;
    this.releasePermit = releasePermit;
  }

  ConnectionRequest request() {
    return request;
  }

  /** Releases the permit of a request that was withdrawn. */
  void releaseUnused() {
    releasePermit.run();
  }

  @Override
  public int priority() {
    return request.priority();
  }

  @Override
  public long maxWaitNanos() {
    return request.maxWaitNanos();
  }

  @Override
  public SessionState sessionState() {
    return request.sessionState();
  }

  @Override
  public void granted(PooledDatabaseConnection connection) {
    connection.holdPermit(releasePermit);
    request.granted(connection);
  }

  @Override
  public void refused(AnswerCode code, String reason) {
    releasePermit.run();
    request.refused(code, reason);
  }
}
