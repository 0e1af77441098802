package org.pollenspar.proxy.process;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.core.process.Timeline;

/**
 * Waits at shutdown until no request is in progress or the drain timeout has passed. Checks that no
 * request is aborted before the timeout (invariant P8).
 */
final class Drainer {
  private static final long POLL_MILLIS = 10;

  /** Time for the network to send the last replies before connections are closed. */
  private static final long REPLY_FLUSH_MILLIS = 200;

  private final Duration timeout;
  private final IntSupplier running;
  private final InvariantChecker invariants;
  private final Timeline timeline;

  /**
   * Creates a drainer.
   *
   * @param running returns the number of requests in progress, from callers and other proxies
   */
  Drainer(Duration timeout, IntSupplier running, InvariantChecker invariants, Timeline timeline) {
    this.timeline = timeline;
    this.timeout = timeout;
    this.running = running;
    this.invariants = invariants;
  }

  /** Blocks until no request is in progress or the timeout has passed. */
  void await() {
    timeline.record("drain_started", "proxy", running.getAsInt() + " requests in progress");
    long start = System.nanoTime();
    int unfinished;
    do {
      unfinished = awaitNoneRunning(start);
    } while (unfinished > 0 && !expired(start) && !Thread.currentThread().isInterrupted());
    int aborted = unfinished;
    invariants.check(
        Invariant.DRAIN_CUTS_NOTHING,
        aborted == 0 || expired(start),
        () -> aborted + " requests aborted before the drain timeout");
    timeline.record("drain_ended", "proxy", aborted + " requests aborted");
  }

  /** Waits until no request is in progress and replies are sent; returns how many run after it. */
  private int awaitNoneRunning(long start) {
    try {
      while (running.getAsInt() > 0 && !expired(start)) {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      }
      TimeUnit.MILLISECONDS.sleep(REPLY_FLUSH_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return running.getAsInt();
  }

  private boolean expired(long start) {
    return System.nanoTime() - start >= timeout.toNanos();
  }
}
