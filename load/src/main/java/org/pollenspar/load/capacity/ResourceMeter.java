package org.pollenspar.load.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.function.Supplier;

/** Measures retained heap and processor time on the calling thread. */
final class ResourceMeter {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final int COLLECTIONS = 3;
  private static final int WARM_UP_ROUNDS = 3;
  private static final int MEASURED_ROUNDS = 5;

  /** Keeps the measured object reachable, so that the collector cannot free it too early. */
  @SuppressWarnings("UnusedVariable")
  private static volatile Object measuredObject = "";

  private ResourceMeter() {}

  /** Returns the heap that an object built by {@code builder} retains, in bytes. */
  static double retainedBytes(Supplier<?> builder) {
    measuredObject = builder.get();
    measuredObject = "";
    long before = usedAfterCollection();
    measuredObject = builder.get();
    long after = usedAfterCollection();
    measuredObject = "";
    return Math.max(0, after - before);
  }

  /** Returns the processor time of one operation, the least of several rounds, in nanoseconds. */
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
