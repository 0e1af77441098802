package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.request.AnswerCode;

/**
 * Decides when requests for one database need a permit of its broker, and gets them.
 *
 * <p>Permits cost messages, so they are asked for only while the database's answers are delayed by
 * its queue or permits lately had to wait. The most urgent rank never asks. While no broker
 * answers, requests go on without.
 */
final class BrokeredAdmission {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Smoothed delay of answers by the database's queue above which permits are needed. */
  private static final double CONGESTION_DELAY_NANOS = 25e6;

  /** How long permits stay needed after the last sign of congestion. */
  private static final long CONGESTION_HOLD_MS = 2_000;

  /** A permit that took longer had to wait; it is more than the way to another host and back. */
  private static final long IMMEDIATE_GRANT_MS = 10;

  /** How long no permits are asked for after no broker answered. */
  private static final long BROKER_RETRY_MS = 300;

  private static final double SMOOTHING = 0.3;

  /** Age at which an observed wait has lost most of its weight. */
  private static final double WAIT_DECAY_NANOS = 300e6;

  /** What requests of one rank lately waited for their permit. */
  private static final class Wait {
    double nanos;
    long observedNanos;
  }

  private final SlotPermits permits;
  private final Clocks clocks;
  private final Map<ConnectionRequest, PendingPermitRequest> pending = new HashMap<>();
  private final Map<Integer, Wait> waits = new HashMap<>();
  private long congestedUntilNanos;
  private long brokerUnavailableUntilNanos;
  private long delayMillis;
  private boolean congested;
  private boolean brokerUnavailable;

  BrokeredAdmission(SlotPermits permits, Clocks clocks) {
    this.permits = permits;
    this.clocks = clocks;
  }

  /** Learns the smoothed delay of answers by the database's queue. */
  void delayed(double smoothedNanos) {
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

  /** Returns the wait for a permit that a request of a rank has to expect, in nanoseconds. */
  double waitNanos(int priority) {
    @Nullable Wait wait = waits.get(priority);
    if (wait == null || !permitNeeded(priority)) {
      return 0;
    }
    long age = clocks.steadyNanos() - wait.observedNanos;
    return wait.nanos * Math.exp(-age / WAIT_DECAY_NANOS);
  }

  private void observeWait(int priority, double nanos) {
    Wait wait = waits.computeIfAbsent(priority, key -> new Wait());
    wait.nanos += SMOOTHING * (nanos - wait.nanos);
    wait.observedNanos = clocks.steadyNanos();
  }

  /**
   * Asks for a permit for a request.
   *
   * @param start receives the request that may start, which gives the permit back with its use
   */
  void ask(DatabaseEntry database, ConnectionRequest request, Consumer<ConnectionRequest> start) {
    PendingPermitRequest permitRequest = new PendingPermitRequest(database, request, start);
    pending.put(request, permitRequest);
    permits.ask(database, permitRequest);
  }

  /** Withdraws a request that waits for a permit; returns whether it did. */
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

  /** Returns how many requests wait for a permit. */
  int waiting() {
    return pending.size();
  }

  /** One request that waits for a permit. */
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
      observeWait(priority(), waited);
      if (waited > IMMEDIATE_GRANT_MS * NANOS_PER_MILLI) {
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
      observeWait(priority(), request.maxWaitNanos() + retryAfterMillis * NANOS_PER_MILLI);
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
