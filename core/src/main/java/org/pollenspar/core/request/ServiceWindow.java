package org.pollenspar.core.request;

/** Sum of service given over the last second, in ten buckets of 100 ms. */
final class ServiceWindow {
  /** Length of the window. */
  static final double NANOS = 1e9;

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

  private void advance(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, BUCKET_NANOS);
    if (lastBucket == Long.MIN_VALUE || bucket - lastBucket >= BUCKETS) {
      java.util.Arrays.fill(buckets, 0);
      lastBucket = bucket;
    }
    while (lastBucket < bucket) {
      lastBucket++;
      buckets[Math.floorMod(lastBucket, BUCKETS)] = 0;
    }
  }
}
