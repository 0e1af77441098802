package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against positions that let a read miss a write that it has to see. */
class PositionHistoryTest {
  private static final long MILLI = 1_000_000L;
  private final PositionHistory log = new PositionHistory();

  @Nested
  class Covering {

    @Test
    void isUnknownWithoutARecentSample() {
      assertNull(log.covering(0));
      log.add(new Position(1, 5), 100 * MILLI);
      assertNull(log.covering(101 * MILLI));
      assertEquals(new Position(1, 5), log.covering(100 * MILLI));
    }

    @Test
    void prefersTheOldestSampleThatIsRecentEnough() {
      log.add(new Position(1, 5), 100 * MILLI);
      log.add(new Position(1, 9), 300 * MILLI);
      log.add(new Position(1, 12), 500 * MILLI);
      assertEquals(new Position(1, 9), log.covering(200 * MILLI));
    }

    @Test
    void ignoresAnswersOfAnOlderTerm() {
      log.add(new Position(2, 1), 100 * MILLI);
      log.add(new Position(1, 90), 200 * MILLI);
      assertEquals(new Position(2, 1), log.latest());
    }

    /** Samples are thinned; none may be returned for a time at which it was not yet true. */
    @Test
    void neverMissesAWriteAcknowledgedBefore() {
      SplittableRandom random = new SplittableRandom(5);
      long[] endAt = new long[20_000];
      long end = 0;
      for (int now = 0; now < endAt.length; now++) {
        end += random.nextInt(3) == 0 ? 1 : 0;
        endAt[now] = end;
        if (random.nextInt(7) == 0) {
          log.add(new Position(1, end), now * MILLI);
        }
        int since = Math.max(0, now - random.nextInt(1_500));
        Position covering = log.covering(since * MILLI);
        assertTrue(covering == null || covering.offset() >= endAt[since]);
      }
    }
  }
}
