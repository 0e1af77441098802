package org.pollenspar.proxy.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.ErrorReporter;
import org.pollenspar.core.process.HybridClock;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.core.process.Timeline;

/** Guards against a proxy that exits while a request is in progress. */
class DrainerTest {
  private final Timeline timeline = new Timeline("p1", new HybridClock(() -> 1), 10);
  private final InvariantChecker invariants =
      new InvariantChecker(new ErrorReporter(List.of()), timeline);

  /** Drains while the number of requests in progress takes these values, and then stays 0. */
  private int valuesLeftAfterDraining(Duration timeout, Integer... running) {
    ArrayDeque<Integer> values = new ArrayDeque<>(List.of(running));
    new Drainer(timeout, () -> values.isEmpty() ? 0 : values.removeFirst(), invariants, timeline)
        .await();
    return values.size();
  }

  /** The request had passed the check for draining when the first count found none. */
  @Test
  void aRequestThatIsCountedLateIsAwaited() {
    assertEquals(0, valuesLeftAfterDraining(Duration.ofMinutes(1), 1, 0, 1, 1, 0, 0));
    assertEquals(0, invariants.violations(Invariant.DRAIN_CUTS_NOTHING));
  }

  @Test
  void nothingIsAwaitedAfterTheTimeout() {
    valuesLeftAfterDraining(Duration.ZERO, 1, 1, 1, 1, 1, 1);
    assertEquals(0, invariants.violations(Invariant.DRAIN_CUTS_NOTHING));
    assertEquals("drain_ended", timeline.snapshot().get(1).kind());
  }
}
