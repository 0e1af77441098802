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
final class RankPacer {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long WINDOW_NANOS = 100_000_000L;

  /** Smoothed delay above which the rank after the most urgent one is slowed. */
  private static final long FIRST_LIMIT_NANOS = 50_000_000L;

  /**
   * Age at which an answer has lost most of its weight; few answers come while ranks are slowed.
   */
  private static final double MEMORY_NANOS = 250e6;

  /** Weights of an answer quicker and slower than the base: it settles at a low quantile. */
  private static final double BASE_FALL = 0.03;

  private static final double BASE_RISE = 0.002;

  /** Delay that stands for a full queue at the database. */
  private static final double REFUSED_DELAY_NANOS = 250e6;

  private static final double LEAST_WEIGHT = 0.15;
  private static final double DECREASE = 0.75;
  private static final double INCREASE = 1.1;
  private static final double INCREASE_PER_WINDOW = 0.3;
  private static final double LEAST_RATE = 0.5;

  /** A rate above this multiple of what was used lately holds nothing back. */
  private static final double FREE_FACTOR = 3;

  /** The pace of one rank. */
  private static final class Pace {
    boolean limited;
    double rate;
    double tokens;
    long tokensNanos;
    double usedRate;
    int usedInWindow;
  }

  private final Map<Integer, Pace> paces = new TreeMap<>();
  private final Map<Integer, Double> baseNanos = new TreeMap<>();
  private double smoothedNanos;
  private long lastNanos;
  private long windowStartNanos;
  private boolean started;

  /** Returns whether a request of a rank may start now, and counts it if so. */
  boolean tryStart(int priority, long nowNanos) {
    if (priority <= 0) {
      return true;
    }
    Pace pace = paces.computeIfAbsent(priority, key -> new Pace());
    if (pace.limited) {
      refill(pace, nowNanos);
      if (pace.tokens < 1) {
        return false;
      }
      pace.tokens--;
    }
    pace.usedInWindow++;
    return true;
  }

  private static void refill(Pace pace, long nowNanos) {
    double elapsed = (double) (nowNanos - pace.tokensNanos) / NANOS_PER_SECOND;
    pace.tokens = Math.min(2, pace.tokens + elapsed * pace.rate);
    pace.tokensNanos = nowNanos;
  }

  /** Returns the wait for a turn behind others of the same rank, in nanoseconds. */
  long waitNanos(int priority, int waiting, long nowNanos) {
    Pace pace = paces.get(priority);
    if (pace == null || !pace.limited) {
      return 0;
    }
    refill(pace, nowNanos);
    return (long) (Math.max(0, waiting + 1 - pace.tokens) / pace.rate * NANOS_PER_SECOND);
  }

  /** Learns how long the database took for an answer to a rank, its queue included. */
  void used(int priority, long tookNanos, long nowNanos) {
    double base = baseNanos.getOrDefault(priority, (double) tookNanos);
    base += (tookNanos < base ? BASE_FALL : BASE_RISE) * (tookNanos - base);
    baseNanos.put(priority, base);
    delayed(Math.max(0, tookNanos - base), nowNanos);
  }

  /** Learns that the database refused a statement because its queue was full. */
  void refused(long nowNanos) {
    delayed(REFUSED_DELAY_NANOS, nowNanos);
  }

  private void delayed(double delayNanos, long nowNanos) {
    double forgotten = 1 - Math.exp(-(nowNanos - lastNanos) / MEMORY_NANOS);
    smoothedNanos += Math.max(LEAST_WEIGHT, forgotten) * (delayNanos - smoothedNanos);
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
    paces.forEach((priority, pace) -> adjust(priority, pace, seconds, nowNanos));
  }

  private void adjust(int priority, Pace pace, double seconds, long nowNanos) {
    pace.usedRate += 0.3 * (pace.usedInWindow / seconds - pace.usedRate);
    pace.usedInWindow = 0;
    boolean slow = smoothedNanos > (double) FIRST_LIMIT_NANOS / priority;
    if (slow && !pace.limited) {
      pace.limited = true;
      pace.tokens = 0;
      pace.tokensNanos = nowNanos;
      pace.rate = Math.max(LEAST_RATE, DECREASE * pace.usedRate);
    } else if (slow) {
      pace.rate = Math.max(LEAST_RATE, DECREASE * pace.rate);
    } else if (pace.limited) {
      pace.rate = INCREASE * pace.rate + INCREASE_PER_WINDOW;
      pace.limited = pace.rate < FREE_FACTOR * Math.max(1, pace.usedRate);
    }
  }

  /** Returns the smoothed delay of answers, in nanoseconds. */
  double smoothedNanos() {
    return smoothedNanos;
  }

  /** Returns whether a rank is being slowed. */
  boolean limited(int priority) {
    Pace pace = paces.get(priority);
    return pace != null && pace.limited;
  }
}
