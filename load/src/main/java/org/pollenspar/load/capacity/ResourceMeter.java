package org.pollenspar.load.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.function.Supplier;

/** Measures the heap that an object retains and the CPU time of the calling thread. */
final class ResourceMeter {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final int COLLECTIONS = 3;
  private static final int WARM_UP_ROUNDS = 3;
  private static final int MEASURED_ROUNDS = 5;

  /** Keeps the measured object reachable, so that it is not collected before the heap is read. */
  @SuppressWarnings("UnusedVariable")
  private static volatile Object measuredObject = "";

  private ResourceMeter() {}

  /**
   * Returns the heap in bytes that an object built by {@code builder} retains. The first object is
   * built and dropped before the measurement, so that loaded classes and caches do not count.
   */
  static double retainedBytes(Supplier<?> builder) {
    measuredObject = builder.get();
    measuredObject = "";
    long before = usedAfterCollection();
    measuredObject = builder.get();
    long after = usedAfterCollection();
    measuredObject = "";
    return Math.max(0, after - before);
  }

  /**
   * Returns the CPU time of one operation in nanoseconds, taken from the fastest of several rounds.
   */
  static double nanosPerOperation(int operations, Runnable round) {
    for (int i = 0; i < WARM_UP_ROUNDS; i++) {
      round.run();
    }
    double best = Double.MAX_VALUE;
    for (int i = 0; i < MEASURED_ROUNDS; i++) {
      long start = THREADS.getCurrentThreadCpuTime();
      round.run();
      best = Math.min(best, (double) (THREADS.getCurrentThreadCpuTime() - start));
    }
    return best / operations;
  }

  private static long usedAfterCollection() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
