package org.pollenspar.core.connection;

import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.PreparedShape;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.version.Route;

/**
 * A caller's statement for a home host, with all that the home needs to decide as if the caller
 * were its own.
 *
 * @param route route of the session in the configuration of the host that serves the caller
 * @param id id that the caller gave the statement
 * @param statement a read, write, execution or commit
 * @param shape prepared statement that an execution runs; null for others
 * @param organisation organisation for which the statement runs; empty for none
 * @param values session values
 * @param elapsedMillis time since the statement arrived
 * @param lastCommit last commit of the session, which reads must include; null for none
 * @param transaction transaction that the statement belongs to; null for none
 */
public record ForwardedRequest(
    Route route,
    String id,
    SessionStatement statement,
    @Nullable PreparedShape shape,
    String organisation,
    Map<String, String> values,
    long elapsedMillis,
    @Nullable Position lastCommit,
    @Nullable Transaction transaction) {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * The transaction of a statement.
   *
   * @param id unique among the transactions that one host forwards over one connection
   * @param opens whether this is the first statement of the transaction
   */
  public record Transaction(long id, boolean opens, boolean readOnly) {}

  /** Creates the forwarded form of a session's statement. */
  static ForwardedRequest of(
      Route route,
      SessionState sessionState,
      SessionRequest request,
      @Nullable Position lastCommit,
      @Nullable Transaction transaction,
      long nowNanos) {
    return new ForwardedRequest(
        route,
        request.id(),
        request.statement(),
        sessionState.shapeOf(request.statement()),
        sessionState.organisation(),
        Map.copyOf(sessionState.values()),
        Math.max(0, (nowNanos - request.arrivedNanos()) / NANOS_PER_MILLI),
        lastCommit,
        transaction);
  }

  /** Returns the statement with its time of arrival on the clock of this host. */
  SessionRequest asRequest(long nowNanos) {
    return new SessionRequest(id, statement, nowNanos - elapsedMillis * NANOS_PER_MILLI);
  }

  /** Gives a session state all that this statement needs. */
  void applyTo(SessionState sessionState) {
    sessionState.organisation(organisation);
    sessionState.replaceValues(values);
    if (shape != null && statement instanceof SessionStatement.Execute execute) {
      sessionState.prepare(execute.name(), shape);
    }
  }
}
