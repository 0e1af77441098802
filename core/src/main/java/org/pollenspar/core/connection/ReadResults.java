package org.pollenspar.core.connection;

import java.util.Arrays;

/**
 * Counts the attempts and failures of reads at one database over a sliding window.
 *
 * <p>The window is long, because a host may send only one read a second to a database and must
 * still see several of its failures.
 */
final class ReadResults {
  private static final int BUCKETS = 10;
  private static final long BUCKET_NANOS = 1_000_000_000L;

  private final int[] attempts = new int[BUCKETS];
  private final int[] failures = new int[BUCKETS];
  private long newestBucket;

  /** Adds one attempt. */
  void add(boolean failed, long nowNanos) {
    int index = Math.floorMod(advance(nowNanos), BUCKETS);
    attempts[index]++;
    failures[index] += failed ? 1 : 0;
  }

  /** Returns the number of attempts of the last 9 to 10 s. */
  int attempts(long nowNanos) {
    advance(nowNanos);
    return Arrays.stream(attempts).sum();
  }

  /** Returns the number of failures of the last 9 to 10 s. */
  int failures(long nowNanos) {
    advance(nowNanos);
    return Arrays.stream(failures).sum();
  }

  /** Discards all counts. */
  void clear() {
    Arrays.fill(attempts, 0);
    Arrays.fill(failures, 0);
  }

  private long advance(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, BUCKET_NANOS);
    if (bucket - newestBucket >= BUCKETS) {
      clear();
    } else {
      for (long each = newestBucket + 1; each <= bucket; each++) {
        attempts[Math.floorMod(each, BUCKETS)] = 0;
        failures[Math.floorMod(each, BUCKETS)] = 0;
      }
    }
    newestBucket = bucket;
    return bucket;
  }
}
