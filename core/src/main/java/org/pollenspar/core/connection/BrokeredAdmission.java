package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.request.AnswerCode;

/**
 * Admission control for requests to one database: decides when they need a permit of the database's
 * broker, and requests the permits.
 *
 * <p>Each permit costs messages. So permits are needed only while the database is congested, which
 * means that its queue delays answers or that permit requests recently had to wait or were refused.
 * The most urgent rank, 0, never needs a permit. If no broker answers, requests start without
 * permits for a short time.
 */
final class BrokeredAdmission {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Smoothed delay of answers by the database's queue above which it counts as congested. */
  private static final double CONGESTION_DELAY_NANOS = 25e6;

  /** How long the database counts as congested after the last sign of congestion. */
  private static final long CONGESTION_HOLD_MS = 2_000;

  /** How long requests start without permits after no broker answered. */
  private static final long BROKER_RETRY_MS = 300;

  /** Weight of the latest wait in the smoothed wait of a rank. */
  private static final double SMOOTHING = 0.3;

  /** Time constant with which the expected wait decays after the last observed wait. */
  private static final double WAIT_DECAY_NANOS = 300e6;

  /** Smoothed wait of requests of one rank for their permits. */
  private static final class Wait {
    double nanos;
    long recordedNanos;
  }

  private final SlotPermits permits;
  private final ConnectionPoolCounts counts;
  private final Clocks clocks;
  private final Map<ConnectionRequest, PendingPermitRequest> pending = new HashMap<>();
  private final Map<Integer, Wait> waits = new HashMap<>();
  private long congestedUntilNanos;
  private long brokerUnavailableUntilNanos;
  private long delayMillis;
  private boolean congested;
  private boolean brokerUnavailable;

  BrokeredAdmission(SlotPermits permits, ConnectionPoolCounts counts, Clocks clocks) {
    this.permits = permits;
    this.counts = counts;
    this.clocks = clocks;
  }

  /** Records the smoothed delay of answers by the database's queue. */
  void recordDelay(double smoothedNanos) {
    delayMillis = (long) (smoothedNanos / NANOS_PER_MILLI);
    if (smoothedNanos > CONGESTION_DELAY_NANOS) {
      markCongested();
    }
  }

  private void markCongested() {
    congested = true;
    congestedUntilNanos = clocks.steadyNanos() + CONGESTION_HOLD_MS * NANOS_PER_MILLI;
  }

  /** Returns whether a request of a rank needs a permit now. */
  boolean permitNeeded(int priority) {
    if (priority <= 0 || !congested) {
      return false;
    }
    long now = clocks.steadyNanos();
    congested = congestedUntilNanos - now > 0;
    brokerUnavailable = brokerUnavailable && brokerUnavailableUntilNanos - now > 0;
    return congested && !brokerUnavailable;
  }

  /** Returns how long a new request of a rank is expected to wait for a permit, in nanoseconds. */
  double waitNanos(int priority) {
    @Nullable Wait wait = waits.get(priority);
    if (wait == null || !permitNeeded(priority)) {
      return 0;
    }
    long age = clocks.steadyNanos() - wait.recordedNanos;
    return wait.nanos * Math.exp(-age / WAIT_DECAY_NANOS);
  }

  private void recordWait(int priority, double nanos) {
    Wait wait = waits.computeIfAbsent(priority, key -> new Wait());
    wait.nanos += SMOOTHING * (nanos - wait.nanos);
    wait.recordedNanos = clocks.steadyNanos();
  }

  /**
   * Requests a permit for a connection request. The request is refused if the permit is.
   *
   * @param start receives the request once it may start: with its permit as a {@link
   *     PermittedRequest}, or unchanged if no broker answered
   */
  void ask(DatabaseEntry database, ConnectionRequest request, Consumer<ConnectionRequest> start) {
    PendingPermitRequest permitRequest = new PendingPermitRequest(database, request, start);
    pending.put(request, permitRequest);
    permits.ask(database, permitRequest);
  }

  /** Withdraws a request that waits for a permit; returns whether it was waiting. */
  boolean withdraw(ConnectionRequest request) {
    @Nullable PendingPermitRequest permitRequest = pending.remove(request);
    if (permitRequest == null) {
      return false;
    }
    permits.end(permitRequest.database, permitRequest, delayMillis);
    return true;
  }

  /** Withdraws and returns all requests that wait for a permit. */
  List<ConnectionRequest> drain() {
    List<ConnectionRequest> all = List.copyOf(pending.keySet());
    all.forEach(this::withdraw);
    return all;
  }

  int waiting() {
    return pending.size();
  }

  /** The permit request of one connection request that waits for a permit. */
  private final class PendingPermitRequest implements SlotPermitRequest {
    private final DatabaseEntry database;
    private final ConnectionRequest request;
    private final Consumer<ConnectionRequest> start;
    private final long requestedNanos = clocks.steadyNanos();

    PendingPermitRequest(
        DatabaseEntry database, ConnectionRequest request, Consumer<ConnectionRequest> start) {
      this.database = database;
      this.request = request;
      this.start = start;
    }

    @Override
    public int priority() {
      return request.priority();
    }

    @Override
    public long maxWaitMillis() {
      return Math.max(0, request.maxWaitNanos() / NANOS_PER_MILLI);
    }

    @Override
    public void queued() {
      markCongested();
    }

    @Override
    public void granted() {
      if (!pending.remove(request, this)) {
        return;
      }
      long waited = clocks.steadyNanos() - requestedNanos;
      recordWait(priority(), waited);
      if (waited > permits.immediateGrantMillis(database) * NANOS_PER_MILLI) {
        markCongested();
      }
      start.accept(new PermittedRequest(request, () -> permits.end(database, this, delayMillis)));
    }

    @Override
    public void refused(long retryAfterMillis) {
      if (!pending.remove(request, this)) {
        return;
      }
      markCongested();
      recordWait(priority(), request.maxWaitNanos() + retryAfterMillis * NANOS_PER_MILLI);
      counts.countRefusal(ConnectionPoolCounts.Refusal.OVERLOADED);
      request.refused(
          AnswerCode.BUSY,
          "database "
              + database.id()
              + " is overloaded; retry in "
              + Math.max(1, retryAfterMillis)
              + " ms");
    }

    @Override
    public void brokerUnavailable() {
      if (!pending.remove(request, this)) {
        return;
      }
      brokerUnavailable = true;
      brokerUnavailableUntilNanos = clocks.steadyNanos() + BROKER_RETRY_MS * NANOS_PER_MILLI;
      start.accept(request);
    }
  }
}
