package org.pollenspar.core.connection;

import java.util.Map;
import java.util.TreeMap;

/**
 * Slows the less urgent ranks at one database while it answers slowly.
 *
 * <p>Load it answers: replicas fall behind and reads of all ranks go to the primary, or a flood of
 * the lowest rank. Many hosts share the database's queue, which knows no ranks, so each host must
 * hold back on its own. The signal is the smoothed delay of answers: their time above what answers
 * to the same rank take when nothing is queued, tracked as a low quantile. While it is above the
 * limit of a rank, the rate of that rank shrinks by a factor in each window; below, it grows until
 * the rank is free again. The limits fall with urgency, so the lowest rank yields first and the
 * most urgent one is never held back.
 */
final class RankRateLimiter {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long WINDOW_NANOS = 100_000_000L;

  /** Smoothed delay above which the rank after the most urgent one is slowed. */
  private static final long DELAY_LIMIT_NANOS = 50_000_000L;

  /**
   * Age at which an answer has lost most of its weight; few answers come while ranks are slowed.
   */
  private static final double DECAY_NANOS = 250e6;

  /** Weights of an answer quicker and slower than the base: it settles at a low quantile. */
  private static final double BASELINE_DECREASE_WEIGHT = 0.03;

  private static final double BASELINE_INCREASE_WEIGHT = 0.002;

  /** Delay that stands for a full queue at the database. */
  private static final double REFUSED_DELAY_NANOS = 250e6;

  private static final double MIN_WEIGHT = 0.15;
  private static final double RATE_DECREASE_FACTOR = 0.75;
  private static final double RATE_INCREASE_FACTOR = 1.1;
  private static final double RATE_INCREASE = 0.3;
  private static final double MIN_RATE = 0.5;

  /** A rate above this multiple of what was used lately holds nothing back. */
  private static final double UNLIMITED_RATE_FACTOR = 3;

  /** Token bucket that limits the rate of one rank. */
  private static final class TokenBucket {
    boolean limited;
    double rate;
    double tokens;
    long tokensNanos;
    double usedRate;
    int usedInWindow;
  }

  private final Map<Integer, TokenBucket> buckets = new TreeMap<>();
  private final Map<Integer, Double> baselineNanos = new TreeMap<>();
  private double smoothedNanos;
  private long lastNanos;
  private long windowStartNanos;
  private boolean started;

  /** Returns whether a request of a rank may start now, and counts it if so. */
  boolean tryStart(int priority, long nowNanos) {
    if (priority <= 0) {
      return true;
    }
    TokenBucket bucket = buckets.computeIfAbsent(priority, key -> new TokenBucket());
    if (bucket.limited) {
      refill(bucket, nowNanos);
      if (bucket.tokens < 1) {
        return false;
      }
      bucket.tokens--;
    }
    bucket.usedInWindow++;
    return true;
  }

  private static void refill(TokenBucket bucket, long nowNanos) {
    double elapsed = (double) (nowNanos - bucket.tokensNanos) / NANOS_PER_SECOND;
    bucket.tokens = Math.min(2, bucket.tokens + elapsed * bucket.rate);
    bucket.tokensNanos = nowNanos;
  }

  /** Returns the wait for a turn behind others of the same rank, in nanoseconds. */
  long waitNanos(int priority, int waiting, long nowNanos) {
    TokenBucket bucket = buckets.get(priority);
    if (bucket == null || !bucket.limited) {
      return 0;
    }
    refill(bucket, nowNanos);
    return (long) (Math.max(0, waiting + 1 - bucket.tokens) / bucket.rate * NANOS_PER_SECOND);
  }

  /** Learns how long the database took for an answer to a rank, its queue included. */
  void used(int priority, long tookNanos, long nowNanos) {
    double base = baselineNanos.getOrDefault(priority, (double) tookNanos);
    base +=
        (tookNanos < base ? BASELINE_DECREASE_WEIGHT : BASELINE_INCREASE_WEIGHT)
            * (tookNanos - base);
    baselineNanos.put(priority, base);
    delayed(Math.max(0, tookNanos - base), nowNanos);
  }

  /** Learns that the database refused a statement because its queue was full. */
  void refused(long nowNanos) {
    delayed(REFUSED_DELAY_NANOS, nowNanos);
  }

  private void delayed(double delayNanos, long nowNanos) {
    double forgotten = 1 - Math.exp(-(nowNanos - lastNanos) / DECAY_NANOS);
    smoothedNanos += Math.max(MIN_WEIGHT, forgotten) * (delayNanos - smoothedNanos);
    lastNanos = nowNanos;
    closeWindow(nowNanos);
  }

  private void closeWindow(long nowNanos) {
    if (!started) {
      started = true;
      windowStartNanos = nowNanos;
    }
    long elapsed = nowNanos - windowStartNanos;
    if (elapsed < WINDOW_NANOS) {
      return;
    }
    windowStartNanos = nowNanos;
    double seconds = (double) elapsed / NANOS_PER_SECOND;
    buckets.forEach((priority, bucket) -> adjust(priority, bucket, seconds, nowNanos));
  }

  private void adjust(int priority, TokenBucket bucket, double seconds, long nowNanos) {
    bucket.usedRate += 0.3 * (bucket.usedInWindow / seconds - bucket.usedRate);
    bucket.usedInWindow = 0;
    boolean slow = smoothedNanos > (double) DELAY_LIMIT_NANOS / priority;
    if (slow && !bucket.limited) {
      bucket.limited = true;
      bucket.tokens = 0;
      bucket.tokensNanos = nowNanos;
      bucket.rate = Math.max(MIN_RATE, RATE_DECREASE_FACTOR * bucket.usedRate);
    } else if (slow) {
      bucket.rate = Math.max(MIN_RATE, RATE_DECREASE_FACTOR * bucket.rate);
    } else if (bucket.limited) {
      bucket.rate = RATE_INCREASE_FACTOR * bucket.rate + RATE_INCREASE;
      bucket.limited = bucket.rate < UNLIMITED_RATE_FACTOR * Math.max(1, bucket.usedRate);
    }
  }

  /** Returns the smoothed delay of answers, in nanoseconds. */
  double smoothedNanos() {
    return smoothedNanos;
  }

  /** Returns whether a rank is being slowed. */
  boolean limited(int priority) {
    TokenBucket bucket = buckets.get(priority);
    return bucket != null && bucket.limited;
  }
}
