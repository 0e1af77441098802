package org.pollenspar.core.request;

/** Smoothed service time of a rank. */
final class ServiceTime {
  /** Assumed until the first request ends; a short statement on a database nearby. */
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
