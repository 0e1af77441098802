package org.pollenspar.core.connection;

/**
 * How many requests one home runs at once on one database: additive increase while the latency is
 * at most twice its smoothed minimum, multiplicative decrease above that.
 *
 * <p>The limit stays between 2 and the share; a share of 1 gives 1. It decreases at most once per
 * smoothed latency: requests that run together see the same slowness, and counting each of them
 * would take the limit to its minimum at the first slow moment.
 */
public final class ConcurrencyLimit {
  /** The least limit that still lets a second request show whether the database is slow. */
  public static final int MINIMUM = 2;

  private static final double DECREASE_FACTOR = 0.8;
  private static final double SLOW_FACTOR = 2.0;
  private static final long SHRINK_NANOS = 1_000_000_000L;
  private static final long WINDOW_NANOS = 1_000_000_000L;
  private static final double WINDOW_WEIGHT = 0.2;

  private int share;
  private int shrunkShare;
  private long shrunkUntilNanos;
  private double limit;
  private double minimumNanos;
  private double windowMinimumNanos = Double.MAX_VALUE;
  private long windowEndNanos;
  private long decreasedNanos;
  private boolean decreasedBefore;

  /** Creates a limit that starts at half the share. */
  public ConcurrencyLimit(int share) {
    this.share = Math.max(1, share);
    this.shrunkShare = this.share;
    this.limit = Math.max(MINIMUM, this.share / 2.0);
  }

  /** Sets the share, for example after the homes of the group changed. */
  public void share(int newShare) {
    share = Math.max(1, newShare);
    shrunkShare = Math.min(shrunkShare, share);
    limit = Math.min(limit, Math.max(MINIMUM, share));
  }

  /** Returns how many requests may run now. */
  public int limit(long nowNanos) {
    return (int) Math.min(effectiveShare(nowNanos), Math.max(MINIMUM, limit));
  }

  /** Records a request that the database answered. */
  public void answered(long latencyNanos, long nowNanos) {
    recordMinimum(latencyNanos, nowNanos);
    if (latencyNanos > SLOW_FACTOR * minimumNanos) {
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
   * Records SQLSTATE 53300. Each refusal is one connection above the database's limit, so the share
   * shrinks by one, for 1 s from the last refusal.
   */
  public void refused(long nowNanos) {
    shrunkShare = Math.max(1, limit(nowNanos) - 1);
    shrunkShare = Math.max(Math.min(MINIMUM, share), shrunkShare);
    shrunkUntilNanos = nowNanos + SHRINK_NANOS;
  }

  private int effectiveShare(long nowNanos) {
    boolean shrunk = shrunkShare < share && shrunkUntilNanos - nowNanos > 0;
    return shrunk ? shrunkShare : share;
  }

  private void decrease(long nowNanos) {
    if (decreasedBefore && nowNanos - decreasedNanos < minimumNanos * SLOW_FACTOR) {
      return;
    }
    decreasedBefore = true;
    decreasedNanos = nowNanos;
    limit = Math.max(MINIMUM, limit * DECREASE_FACTOR);
  }

  private void recordMinimum(long latencyNanos, long nowNanos) {
    if (minimumNanos == 0) {
      minimumNanos = Math.max(1, latencyNanos);
      windowEndNanos = nowNanos + WINDOW_NANOS;
    }
    windowMinimumNanos = Math.min(windowMinimumNanos, Math.max(1, latencyNanos));
    if (nowNanos - windowEndNanos >= 0) {
      minimumNanos += WINDOW_WEIGHT * (windowMinimumNanos - minimumNanos);
      windowMinimumNanos = Double.MAX_VALUE;
      windowEndNanos = nowNanos + WINDOW_NANOS;
    }
    minimumNanos = Math.min(minimumNanos, Math.max(1, latencyNanos));
  }
}
