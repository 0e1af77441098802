package org.pollenspar.core.process;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Hybrid logical clock: 48 bits of wall-clock milliseconds and 16 bits of counter.
 *
 * <p>Invariant: a stamp is larger than every stamp issued or observed before by this process. So an
 * event caused by a message is ordered after the event that sent the message, however much the
 * clocks of the two hosts differ. Wall time alone does not order them, since the clocks of two
 * hosts may differ by more than the time a message takes.
 *
 * <p>Safe for use by several threads.
 */
public final class HybridClock {
  private static final int COUNTER_BITS = 16;

  private final LongSupplier wallMillis;
  private final AtomicLong last = new AtomicLong();

  public HybridClock(LongSupplier wallMillis) {
    this.wallMillis = wallMillis;
  }

  /** Returns a stamp for a local event. */
  public long tick() {
    long wall = wallMillis.getAsLong() << COUNTER_BITS;
    return last.updateAndGet(previous -> Math.max(previous + 1, wall));
  }

  /** Makes later stamps larger than one that was received with a message. */
  public void observe(long remote) {
    last.accumulateAndGet(remote, Math::max);
  }

  /** Returns the milliseconds since the epoch that a stamp holds. */
  public static long millis(long stamp) {
    return stamp >>> COUNTER_BITS;
  }
}
