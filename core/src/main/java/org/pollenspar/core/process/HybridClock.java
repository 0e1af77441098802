package org.pollenspar.core.process;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Hybrid logical clock: 48 bits of wall-clock milliseconds and 16 bits of counter.
 *
 * <p>Invariant: a stamp is larger than every stamp issued or observed before it by this process, so
 * an event that a message caused is ordered after the event that sent the message, whatever the
 * difference of the machines' clocks. Wall time alone fails here: two hosts' clocks differ by more
 * than a message takes.
 */
public final class HybridClock {
  private static final int COUNTER_BITS = 16;

  private final LongSupplier wallMillis;
  private final AtomicLong last = new AtomicLong();

  /** Creates a clock over a source of wall-clock milliseconds. */
  public HybridClock(LongSupplier wallMillis) {
    this.wallMillis = wallMillis;
  }

  /** Returns a stamp for a local event. */
  public long tick() {
    long wall = wallMillis.getAsLong() << COUNTER_BITS;
    return last.updateAndGet(previous -> Math.max(previous + 1, wall));
  }

  /** Takes a stamp received with a message into account. */
  public void observe(long remote) {
    last.accumulateAndGet(remote, Math::max);
  }

  /** Returns the milliseconds since the epoch that a stamp holds. */
  public static long millis(long stamp) {
    return stamp >>> COUNTER_BITS;
  }
}
