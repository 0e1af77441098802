package org.pollenspar.core.connection;

import java.util.Map;
import java.util.TreeMap;

/**
 * Limits the rate of the less urgent ranks at one database while its queue delays answers.
 *
 * <p>It handles two kinds of overload: replicas fall behind, so that reads of all ranks go to the
 * primary, or far too many requests of the lowest rank arrive. All hosts share the queue of the
 * database, which serves in order of arrival whatever the rank, so each host must limit its less
 * urgent requests itself.
 *
 * <p>The signal is the smoothed delay of answers. The delay of an answer is its latency minus the
 * baseline of its rank, which is the latency without queueing, estimated as a low quantile. While
 * the smoothed delay is above the delay limit of a rank, the rate of that rank decreases by a
 * factor in each window. Below the limit the rate increases until the rank is unlimited again. The
 * delay limit is lower for less urgent ranks, so the least urgent rank is limited first. The most
 * urgent rank, 0, is never limited.
 */
final class RankRateLimiter {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long WINDOW_NANOS = 100_000_000L;

  /** Smoothed delay above which rank 1 is limited; for rank n it is this value divided by n. */
  private static final long DELAY_LIMIT_NANOS = 50_000_000L;

  /**
   * Time constant of the smoothed delay. Old answers lose weight with time and not with the number
   * of later answers, since few answers arrive while ranks are limited.
   */
  private static final double SMOOTHING_DECAY_NANOS = 250e6;

  /**
   * Weight of an answer that is faster than the baseline. It is greater than the weight of a slower
   * one, so the baseline settles at a low quantile of the latency.
   */
  private static final double BASELINE_DECREASE_WEIGHT = 0.03;

  /** Weight of an answer that is slower than the baseline. */
  private static final double BASELINE_INCREASE_WEIGHT = 0.002;

  /** Delay assumed for a statement that the database refused because its queue was full. */
  private static final double QUEUE_FULL_DELAY_NANOS = 250e6;

  /** Least weight of a new answer in the smoothed delay. */
  private static final double MIN_SMOOTHING_WEIGHT = 0.15;

  private static final double RATE_DECREASE_FACTOR = 0.75;
  private static final double RATE_INCREASE_FACTOR = 1.1;

  /** Added to the rate of a rank per window, in requests per second. */
  private static final double RATE_INCREASE = 0.3;

  /** Lowest rate of a limited rank, in requests per second. */
  private static final double MIN_RATE = 0.5;

  /**
   * A rank becomes unlimited when its rate exceeds this multiple of the rate at which its requests
   * recently started, since such a limit has no effect.
   */
  private static final double UNLIMITED_RATE_FACTOR = 3;

  /**
   * Token bucket that limits the rate of one rank. It holds at most two tokens, so no more than two
   * requests start at once. Rates are in requests per second; the start rate is smoothed.
   */
  private static final class TokenBucket {
    boolean limited;
    double rate;
    double tokens;
    long refilledNanos;
    double startRate;
    int startsInWindow;
  }

  private final Map<Integer, TokenBucket> buckets = new TreeMap<>();
  private final Map<Integer, Double> baselineNanos = new TreeMap<>();
  private double smoothedDelayNanos;
  private long lastDelayNanos;
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
    bucket.startsInWindow++;
    return true;
  }

  private static void refill(TokenBucket bucket, long nowNanos) {
    bucket.tokens = tokens(bucket, nowNanos);
    bucket.refilledNanos = nowNanos;
  }

  private static double tokens(TokenBucket bucket, long nowNanos) {
    double elapsed = (double) (nowNanos - bucket.refilledNanos) / NANOS_PER_SECOND;
    return Math.min(2, bucket.tokens + elapsed * bucket.rate);
  }

  /**
   * Returns how long a new request waits for the rate limit, in nanoseconds.
   *
   * @param waiting requests of the rank that wait already
   */
  long waitNanos(int priority, int waiting, long nowNanos) {
    TokenBucket bucket = buckets.get(priority);
    if (bucket != null && bucket.limited) {
      refill(bucket, nowNanos);
    }
    return estimatedWaitNanos(priority, waiting, nowNanos);
  }

  /**
   * Returns the same as {@link #waitNanos} and changes nothing. A refill applies the present rate
   * to the time since the last one, so an additional refill before a change of the rate would
   * change later decisions.
   */
  long estimatedWaitNanos(int priority, int waiting, long nowNanos) {
    TokenBucket bucket = buckets.get(priority);
    if (bucket == null || !bucket.limited) {
      return 0;
    }
    double tokens = tokens(bucket, nowNanos);
    return (long) (Math.max(0, waiting + 1 - tokens) / bucket.rate * NANOS_PER_SECOND);
  }

  /** Returns what {@link #tryStart} would return, and counts nothing. */
  boolean wouldStart(int priority, long nowNanos) {
    TokenBucket bucket = buckets.get(priority);
    return bucket == null || !bucket.limited || tokens(bucket, nowNanos) >= 1;
  }

  /** Records the latency of an answer to a request of a rank, including the database's queue. */
  void recordLatency(int priority, long tookNanos, long nowNanos) {
    double baseline = baselineNanos.getOrDefault(priority, (double) tookNanos);
    baseline +=
        (tookNanos < baseline ? BASELINE_DECREASE_WEIGHT : BASELINE_INCREASE_WEIGHT)
            * (tookNanos - baseline);
    baselineNanos.put(priority, baseline);
    recordDelay(Math.max(0, tookNanos - baseline), nowNanos);
  }

  /** Records that the database refused a statement because its queue was full. */
  void recordQueueFull(long nowNanos) {
    recordDelay(QUEUE_FULL_DELAY_NANOS, nowNanos);
  }

  private void recordDelay(double delayNanos, long nowNanos) {
    double weight = 1 - Math.exp(-(nowNanos - lastDelayNanos) / SMOOTHING_DECAY_NANOS);
    smoothedDelayNanos +=
        Math.max(MIN_SMOOTHING_WEIGHT, weight) * (delayNanos - smoothedDelayNanos);
    lastDelayNanos = nowNanos;
    closeWindowIfElapsed(nowNanos);
  }

  private void closeWindowIfElapsed(long nowNanos) {
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
    bucket.startRate += 0.3 * (bucket.startsInWindow / seconds - bucket.startRate);
    bucket.startsInWindow = 0;
    boolean slow = smoothedDelayNanos > (double) DELAY_LIMIT_NANOS / priority;
    if (slow && !bucket.limited) {
      bucket.limited = true;
      bucket.tokens = 0;
      bucket.refilledNanos = nowNanos;
      bucket.rate = Math.max(MIN_RATE, RATE_DECREASE_FACTOR * bucket.startRate);
    } else if (slow) {
      bucket.rate = Math.max(MIN_RATE, RATE_DECREASE_FACTOR * bucket.rate);
    } else if (bucket.limited) {
      bucket.rate = RATE_INCREASE_FACTOR * bucket.rate + RATE_INCREASE;
      bucket.limited = bucket.rate < UNLIMITED_RATE_FACTOR * Math.max(1, bucket.startRate);
    }
  }

  /** Returns the smoothed delay of answers, in nanoseconds. */
  double smoothedDelayNanos() {
    return smoothedDelayNanos;
  }

  boolean limited(int priority) {
    TokenBucket bucket = buckets.get(priority);
    return bucket != null && bucket.limited;
  }
}
