package org.pollenspar.core.request;

/**
 * Exponentially weighted moving average of a rank's service times, in nanoseconds. The first
 * measured time replaces the initial value.
 */
final class ServiceTime {
  /** Value until the first request ends; typical of a short statement on a nearby database. */
  private static final double INITIAL_NANOS = 2_000_000;

  private static final double SMOOTHING_WEIGHT = 0.05;

  private double nanos = INITIAL_NANOS;
  private boolean measured;

  void add(long serviceNanos) {
    nanos = measured ? nanos + SMOOTHING_WEIGHT * (serviceNanos - nanos) : serviceNanos;
    measured = true;
  }

  double nanos() {
    return nanos;
  }
}
