package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import org.jspecify.annotations.Nullable;

/**
 * The times of the latest successful reads at each database of a group, by rank.
 *
 * <p>The latest ones of each are kept, and not those of a window alone, because a host may send a
 * database only one read a second.
 */
final class ReadTimes {
  private static final int KEPT = 64;
  private static final long MAX_AGE_NANOS = 60_000_000_000L;

  /** The latest times of one database and rank. */
  private static final class Latest {
    final long[] tookNanos = new long[KEPT];
    final long[] recordedNanos = new long[KEPT];
    int recorded;

    void add(long took, long nowNanos) {
      tookNanos[recorded % KEPT] = took;
      recordedNanos[recorded % KEPT] = nowNanos;
      recorded++;
    }

    LongStream recent(long nowNanos) {
      return LongStream.range(0, Math.min(recorded, KEPT))
          .filter(i -> nowNanos - recordedNanos[(int) i] < MAX_AGE_NANOS)
          .map(i -> tookNanos[(int) i]);
    }
  }

  private final Map<String, Map<Integer, Latest>> byDatabase = new HashMap<>();

  /** Records a successful read, which took the given time from sending it to its answer. */
  void record(String database, int priority, long tookNanos, long nowNanos) {
    byDatabase
        .computeIfAbsent(database, id -> new HashMap<>())
        .computeIfAbsent(priority, rank -> new Latest())
        .add(tookNanos, nowNanos);
  }

  /** Discards the times of a database that has left. */
  void forget(String database) {
    byDatabase.remove(database);
  }

  /** Returns the times of a rank at some databases in ascending order, in nanoseconds. */
  long[] sorted(Predicate<String> databases, int priority, long nowNanos) {
    LongStream all = LongStream.empty();
    for (Map.Entry<String, Map<Integer, Latest>> each : byDatabase.entrySet()) {
      @Nullable Latest latest = each.getValue().get(priority);
      if (latest != null && databases.test(each.getKey())) {
        all = LongStream.concat(all, latest.recent(nowNanos));
      }
    }
    return all.sorted().toArray();
  }

  /** Returns a quantile of times in ascending order, at least one. */
  static long quantile(long[] sorted, double quantile) {
    return sorted[(int) Math.min(sorted.length - 1L, Math.round(quantile * sorted.length))];
  }
}
