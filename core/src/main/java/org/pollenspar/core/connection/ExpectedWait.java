package org.pollenspar.core.connection;

import org.pollenspar.core.process.Clocks;

/**
 * The time until a new request of a {@link ConnectionPool} is expected to be answered: its wait for
 * a connection or for its admission, whichever is longer, and the mean duration of a use.
 */
final class ExpectedWait {
  /** Weight of the latest use in the mean duration of a use. */
  private static final double SMOOTHING = 0.1;

  /** Time to open a connection: 12 ms of the database's work, and the way there and back. */
  private static final double OPENING_NANOS = 14e6;

  /** Mean duration of one use of a connection, assumed before the first use has ended. */
  private static final double INITIAL_MEAN_USE_NANOS = 20e6;

  /** Returns the wait for the rate limit, in nanoseconds; see {@link RankRateLimiter#waitNanos}. */
  interface RateLimitWait {
    long nanos(int priority, int waiting, long nowNanos);
  }

  private final PooledConnections connections;
  private final ConnectionRequestQueue queue;
  private final ConnectionDistribution distribution;
  private final BrokeredAdmission admission;
  private final Clocks clocks;
  private double meanUseNanos = INITIAL_MEAN_USE_NANOS;

  ExpectedWait(
      PooledConnections connections,
      ConnectionRequestQueue queue,
      ConnectionDistribution distribution,
      BrokeredAdmission admission,
      Clocks clocks) {
    this.connections = connections;
    this.queue = queue;
    this.distribution = distribution;
    this.admission = admission;
    this.clocks = clocks;
  }

  /** Returns the mean duration of one use of a connection, in nanoseconds. */
  double meanUseNanos() {
    return meanUseNanos;
  }

  /** Records that the use of a connection has ended. */
  void recordUse(long tookNanos) {
    meanUseNanos += SMOOTHING * (tookNanos - meanUseNanos);
  }

  /**
   * Returns the expected time until a new request of a rank and organisation is answered, in
   * nanoseconds. An organisation without connections also waits for the more urgent requests of the
   * others.
   *
   * @param share how many connections the host may hold
   */
  double nanos(int priority, String organisation, int share, RateLimitWait rateLimitWait) {
    double requestsAhead =
        queue.requestsAhead(priority, organisation) + Math.max(0, connections.busy() + 1 - share);
    double connectionWaitNanos =
        meanUseNanos * requestsAhead / distribution.usable(organisation, share);
    if (connections.held(organisation) == 0) {
      connectionWaitNanos +=
          meanUseNanos * queue.moreUrgentOfOthers(priority, organisation) / share;
    }
    if (distribution.mustMakeRoom(organisation, share)) {
      connectionWaitNanos += OPENING_NANOS;
    }
    double admissionWaitNanos =
        admission.permitNeeded(priority)
            ? admission.waitNanos(priority)
            : rateLimitWait.nanos(
                priority, queue.turnsAhead(priority, organisation), clocks.steadyNanos());
    return meanUseNanos + Math.max(connectionWaitNanos, admissionWaitNanos);
  }
}
