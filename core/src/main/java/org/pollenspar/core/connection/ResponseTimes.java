package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.Map;

/**
 * Response times of one database as this host sees them, divided into the latency that no load
 * changes and the time above it.
 *
 * <p>The latency is the shortest response of the last {@link #WINDOW_NANOS} to twice that time. A
 * mean would rise with each queue at the database, and a read that avoids the queue would then take
 * the database for a distant one. The window ends, so that a longer network path is noticed.
 *
 * <p>The time above the latency is the work of a rank and the wait for a slot. It is smoothed, and
 * without new answers it decays to what the caller states as usual. Without the decay, a database
 * that was avoided because of a queue would be avoided for good, since only an answer shows that
 * the queue has gone.
 */
final class ResponseTimes {
  private static final long WINDOW_NANOS = 10_000_000_000L;

  /** Weight of an answer in the smoothed time above the latency. */
  private static final double SMOOTHING = 0.15;

  private static final double DECAY_NANOS = 1e9;

  /** Smoothed time above the latency of one rank, and its mean deviation. */
  private static final class Excess {
    double nanos;
    double deviationNanos;
    long recordedNanos;
  }

  private final Map<Integer, Excess> excessByRank = new HashMap<>();
  private long windowStartNanos;
  private double minimumNanos = Double.MAX_VALUE;
  private double previousMinimumNanos = Double.MAX_VALUE;

  /** Records a complete answer to a statement. */
  void record(int priority, long tookNanos, long nowNanos) {
    if (nowNanos - windowStartNanos >= WINDOW_NANOS) {
      previousMinimumNanos = minimumNanos;
      minimumNanos = Double.MAX_VALUE;
      windowStartNanos = nowNanos;
    }
    minimumNanos = Math.min(minimumNanos, tookNanos);
    double above = tookNanos - latencyNanos();
    Excess excess = excessByRank.get(priority);
    if (excess == null) {
      excess = new Excess();
      excess.nanos = above;
      excess.deviationNanos = above / 2;
      excessByRank.put(priority, excess);
    } else {
      excess.deviationNanos += SMOOTHING * (Math.abs(above - excess.nanos) - excess.deviationNanos);
      excess.nanos += SMOOTHING * (above - excess.nanos);
    }
    excess.recordedNanos = nowNanos;
  }

  /** Returns whether an answer was recorded. */
  boolean known() {
    return latencyNanos() < Double.MAX_VALUE;
  }

  /** Returns the shortest recent response; {@link #known} must be true. */
  double latencyNanos() {
    return Math.min(minimumNanos, previousMinimumNanos);
  }

  /**
   * Returns the expected time of a rank above the latency.
   *
   * @param usualNanos time that is assumed without recent answers
   */
  double excessNanos(int priority, double usualNanos, long nowNanos) {
    Excess excess = excessByRank.get(priority);
    if (excess == null) {
      return usualNanos;
    }
    double weight = Math.exp(-(nowNanos - excess.recordedNanos) / DECAY_NANOS);
    return usualNanos + weight * (excess.nanos - usualNanos);
  }

  /** Returns the smoothed time of a rank above the latency; infinite if none was recorded. */
  double smoothedExcessNanos(int priority) {
    Excess excess = excessByRank.get(priority);
    return excess == null ? Double.POSITIVE_INFINITY : excess.nanos;
  }

  /** Returns the mean deviation of a rank's response times; 0 if none was recorded. */
  double deviationNanos(int priority, long nowNanos) {
    Excess excess = excessByRank.get(priority);
    return excess == null
        ? 0
        : excess.deviationNanos * Math.exp(-(nowNanos - excess.recordedNanos) / DECAY_NANOS);
  }
}
