package org.pollenspar.core.connection;

/**
 * Limit on the number of requests that one home runs at once on one database. The limit follows the
 * AIMD scheme: it increases additively while the latency is at most twice its smoothed minimum, and
 * decreases multiplicatively above that.
 *
 * <p>The limit stays between 2 and the connection share of the home; a share of 1 gives a limit of
 * 1. After a decrease, further slow answers have no effect for twice the smoothed minimum latency:
 * requests that run at the same time are slow for the same reason, and counting each of them would
 * take the limit to its minimum at the first slow moment.
 *
 * <p>The smoothed minimum follows the lowest latency of each window of 1 s. It drops to a lower
 * latency at once and rises by a fraction per window, so it adapts if the database stays slower.
 */
public final class ConcurrencyLimit {
  /** Lowest limit; a second concurrent request shows whether the database is still slow. */
  public static final int MINIMUM = 2;

  private static final double DECREASE_FACTOR = 0.8;
  private static final double SLOW_LATENCY_FACTOR = 2.0;
  private static final long SHARE_REDUCTION_NANOS = 1_000_000_000L;
  private static final long MINIMUM_WINDOW_NANOS = 1_000_000_000L;
  private static final double MINIMUM_SMOOTHING = 0.2;

  private int share;
  private int reducedShare;
  private long reducedUntilNanos;
  private double limit;
  private double smoothedMinimumNanos;
  private double windowMinimumNanos = Double.MAX_VALUE;
  private long windowEndNanos;
  private long lastDecreaseNanos;
  private boolean hasDecreased;

  /** Creates a limit that starts at half the share. */
  public ConcurrencyLimit(int share) {
    this.share = Math.max(1, share);
    this.reducedShare = this.share;
    this.limit = Math.max(MINIMUM, this.share / 2.0);
  }

  /** Sets the share, for example after the homes of the group changed. */
  public void share(int newShare) {
    share = Math.max(1, newShare);
    reducedShare = Math.min(reducedShare, share);
    limit = Math.min(limit, Math.max(MINIMUM, share));
  }

  /** Returns how many requests may run at once now. */
  public int limit(long nowNanos) {
    return (int) Math.min(effectiveShare(nowNanos), Math.max(MINIMUM, limit));
  }

  /** Records a request that the database answered. */
  public void answered(long latencyNanos, long nowNanos) {
    recordMinimum(latencyNanos, nowNanos);
    if (latencyNanos > SLOW_LATENCY_FACTOR * smoothedMinimumNanos) {
      decrease(nowNanos);
    } else {
      limit = Math.min(Math.max(MINIMUM, share), limit + 1 / limit);
    }
  }

  /** Records a request that timed out or whose connection failed. */
  public void failed(long nowNanos) {
    decrease(nowNanos);
  }

  /**
   * Records that the database refused a connection with SQLSTATE 53300. Each refusal means one
   * connection above the database's limit, so the share is reduced by one, until 1 s after the last
   * refusal.
   */
  public void refused(long nowNanos) {
    reducedShare = Math.max(1, limit(nowNanos) - 1);
    reducedShare = Math.max(Math.min(MINIMUM, share), reducedShare);
    reducedUntilNanos = nowNanos + SHARE_REDUCTION_NANOS;
  }

  private int effectiveShare(long nowNanos) {
    boolean reduced = reducedShare < share && reducedUntilNanos - nowNanos > 0;
    return reduced ? reducedShare : share;
  }

  private void decrease(long nowNanos) {
    if (hasDecreased && nowNanos - lastDecreaseNanos < smoothedMinimumNanos * SLOW_LATENCY_FACTOR) {
      return;
    }
    hasDecreased = true;
    lastDecreaseNanos = nowNanos;
    limit = Math.max(MINIMUM, limit * DECREASE_FACTOR);
  }

  private void recordMinimum(long latencyNanos, long nowNanos) {
    if (smoothedMinimumNanos == 0) {
      smoothedMinimumNanos = Math.max(1, latencyNanos);
      windowEndNanos = nowNanos + MINIMUM_WINDOW_NANOS;
    }
    windowMinimumNanos = Math.min(windowMinimumNanos, Math.max(1, latencyNanos));
    if (nowNanos - windowEndNanos >= 0) {
      smoothedMinimumNanos += MINIMUM_SMOOTHING * (windowMinimumNanos - smoothedMinimumNanos);
      windowMinimumNanos = Double.MAX_VALUE;
      windowEndNanos = nowNanos + MINIMUM_WINDOW_NANOS;
    }
    smoothedMinimumNanos = Math.min(smoothedMinimumNanos, Math.max(1, latencyNanos));
  }
}
