package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests of {@link ConcurrencyLimit} and {@link ConnectionShare}. */
class ConcurrencyLimitTest {
  private static final long MILLI = 1_000_000L;

  /** Guards against a limit that ignores a slow database or that never recovers. */
  @Test
  void followsTheLatencyBetweenTwoAndTheShare() {
    ConcurrencyLimit limit = new ConcurrencyLimit(16);
    long now = 0;
    for (int i = 0; i < 500; i++, now += MILLI) {
      limit.answered(5 * MILLI, now);
    }
    assertEquals(16, limit.limit(now));
    limit.answered(11 * MILLI, now);
    limit.answered(11 * MILLI, now + 1);
    assertEquals(12, limit.limit(now), "one slow moment must count once");
    for (int i = 0; i < 500; i++, now += 20 * MILLI) {
      limit.answered(50 * MILLI, now);
      assertTrue(limit.limit(now) >= ConcurrencyLimit.MINIMUM);
    }
    for (int i = 0; i < 500; i++, now += MILLI) {
      limit.answered(5 * MILLI, now);
    }
    assertEquals(16, limit.limit(now));
  }

  /** Guards against reconnecting at once to a database that is out of connections. */
  @Test
  void refusedConnectionShrinksTheShareForOneSecond() {
    ConcurrencyLimit limit = new ConcurrencyLimit(10);
    for (int i = 0; i < 200; i++) {
      limit.answered(MILLI, i * MILLI);
    }
    long now = 200 * MILLI;
    limit.refused(now);
    assertEquals(9, limit.limit(now));
    limit.refused(now);
    assertEquals(8, limit.limit(now + 999 * MILLI));
    assertEquals(10, limit.limit(now + 1000 * MILLI));
    limit.share(1);
    limit.refused(now);
    assertEquals(1, limit.limit(now), "never above the share, never without a connection");
  }

  /** Guards against shares that use up the connections reserved for probes, or that are zero. */
  @Test
  void sharesLeaveTheConnectionsOfProbes() {
    assertEquals(15, new ConnectionShare(50, 3, 3).share());
    assertEquals(29, new ConnectionShare(90, 3, 3).share());
    assertEquals(1, new ConnectionShare(3, 3, 3).share());
    assertEquals(47, new ConnectionShare(50, 3, 0).share());
  }
}
