package org.pollenspar.core.request;

import java.util.Arrays;
import java.util.List;

/**
 * Sum of service times, in nanoseconds, over a sliding window of one second. The window consists of
 * ten buckets of 100 ms; a bucket is cleared before it is used again. A time before the latest one
 * counts as the latest one. Not thread-safe.
 */
final class ServiceWindow {
  /** Length of the window; the current bucket counts in full, so it covers 0.9 to 1 s. */
  static final double LENGTH_NANOS = 1e9;

  private static final int BUCKETS = 10;
  private static final long BUCKET_NANOS = 100_000_000L;

  private final double[] buckets = new double[BUCKETS];
  private long lastBucket = Long.MIN_VALUE;

  void add(double serviceNanos, long nowNanos) {
    advance(nowNanos);
    buckets[Math.floorMod(lastBucket, BUCKETS)] += serviceNanos;
  }

  double sum(long nowNanos) {
    advance(nowNanos);
    double sum = 0;
    for (double bucket : buckets) {
      sum += bucket;
    }
    return sum;
  }

  /**
   * Raises each bucket of this window to the amount by which {@code served} is below the given
   * share of all service in that bucket. Buckets that are higher already stay unchanged.
   */
  void raiseToShortfall(
      double share, ServiceWindow served, List<ServiceWindow> all, long nowNanos) {
    advance(nowNanos);
    all.forEach(window -> window.advance(nowNanos));
    for (int i = 0; i < BUCKETS; i++) {
      double total = 0;
      for (ServiceWindow window : all) {
        total += window.buckets[i];
      }
      buckets[i] = Math.max(buckets[i], share * total - served.buckets[i]);
    }
  }

  private void advance(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, BUCKET_NANOS);
    if (lastBucket == Long.MIN_VALUE || bucket - lastBucket >= BUCKETS) {
      Arrays.fill(buckets, 0);
      lastBucket = bucket;
    }
    while (lastBucket < bucket) {
      lastBucket++;
      buckets[Math.floorMod(lastBucket, BUCKETS)] = 0;
    }
  }
}
