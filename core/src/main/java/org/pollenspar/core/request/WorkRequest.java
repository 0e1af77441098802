package org.pollenspar.core.request;

import java.util.List;
import java.util.Optional;
import org.pollenspar.core.connection.Position;

/**
 * One read, one write or one whole transaction as a home proxy executes it.
 *
 * @param requestId unique in the process
 * @param group database group
 * @param kind kind of work from the configuration version that was current on arrival
 * @param key idempotency key; empty for reads
 * @param retry whether an earlier attempt with this key may still be running
 * @param arrivalNanos monotonic time of arrival at the entry proxy
 * @param deadlineNanos monotonic time after which nothing may start
 * @param sessionId session that asks
 * @param sessionPosition position that a read must include
 * @param statements in order of execution
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

  /** Copies the list of statements. */
  public WorkRequest {
    statements = List.copyOf(statements);
  }

  /** Returns the nanoseconds left at {@code nowNanos}; negative once the deadline has passed. */
  public long remainingNanos(long nowNanos) {
    return deadlineNanos - nowNanos;
  }
}
