package org.pollenspar.core.connection;

/**
 * The results of the latest reads at one database: at most {@link #KEPT} of the last {@link
 * #WINDOW_NANOS}.
 *
 * <p>The time is long, because a host may send only one read a second to a database and must still
 * see several of its failures. The number is small, so that many earlier successes don't hide for
 * seconds that a busy database has begun to fail.
 */
final class ReadResults {
  /**
   * With 1 % of failures, 5 of 32 reads fail with a probability of 1.3e-5, so that a healthy
   * database is hardly ever taken for a failing one.
   */
  private static final int KEPT = 32;

  private static final long WINDOW_NANOS = 10_000_000_000L;

  private final long[] recordedNanos = new long[KEPT];
  private final boolean[] failed = new boolean[KEPT];
  private int recorded;

  /** Adds one attempt. */
  void add(boolean hasFailed, long nowNanos) {
    recordedNanos[recorded % KEPT] = nowNanos;
    failed[recorded % KEPT] = hasFailed;
    recorded++;
  }

  /** Returns the number of the latest attempts. */
  int attempts(long nowNanos) {
    return count(nowNanos, false);
  }

  /** Returns how many of the latest attempts failed. */
  int failures(long nowNanos) {
    return count(nowNanos, true);
  }

  private int count(long nowNanos, boolean failuresOnly) {
    int count = 0;
    for (int i = 0; i < Math.min(recorded, KEPT); i++) {
      boolean recent = nowNanos - recordedNanos[i] < WINDOW_NANOS;
      count += recent && (failed[i] || !failuresOnly) ? 1 : 0;
    }
    return count;
  }

  /** Discards all results. */
  void clear() {
    recorded = 0;
  }
}
