package org.pollenspar.core.connection;

import org.pollenspar.core.request.AnswerCode;

/**
 * A request with a permit, which is given back when its statement ended or it got no connection.
 */
final class PermittedRequest implements ConnectionRequest {
  private final ConnectionRequest request;
  private final Runnable endPermit;

  PermittedRequest(ConnectionRequest request, Runnable endPermit) {
    this.request = request;
    this.endPermit = endPermit;
  }

  /** Returns the request without its permit. */
  ConnectionRequest request() {
    return request;
  }

  /** Gives the permit back without a use. */
  void end() {
    endPermit.run();
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
    connection.permit(endPermit);
    request.granted(connection);
  }

  @Override
  public void refused(AnswerCode code, String reason) {
    endPermit.run();
    request.refused(code, reason);
  }
}
