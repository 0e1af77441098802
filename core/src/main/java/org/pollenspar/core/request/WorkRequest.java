package org.pollenspar.core.request;

import java.util.List;
import java.util.Optional;
import org.pollenspar.core.connection.Position;

/**
 * One read, one write or one whole transaction, as the home proxy of its group executes it.
 *
 * @param requestId id that is unique within the process
 * @param group database group
 * @param kind kind of work, from the configuration version that was in force on arrival
 * @param key idempotency key; empty for reads
 * @param retry whether an earlier attempt with this key may still be running
 * @param arrivalNanos monotonic time of arrival at the entry proxy
 * @param deadlineNanos monotonic time after which nothing may start
 * @param sessionId id of the session that sent the request
 * @param sessionPosition position of the session's last acknowledged write; a read must include it
 * @param statements statements in order of execution
 */
public record WorkRequest(
    long requestId,
    String group,
    WorkKind kind,
    Optional<String> key,
    boolean retry,
    long arrivalNanos,
    long deadlineNanos,
    String sessionId,
    Position sessionPosition,
    List<Statement> statements) {

  public WorkRequest {
    statements = List.copyOf(statements);
  }

  /** Returns the nanoseconds left until the deadline; negative once it has passed. */
  public long remainingNanos(long nowNanos) {
    return deadlineNanos - nowNanos;
  }
}
