package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against required positions that let a read miss a write that it has to see. */
class PositionHistoryTest {
  private static final long MILLI = 1_000_000L;
  private final PositionHistory history = new PositionHistory();

  @Nested
  class Covering {

    @Test
    void isUnknownWithoutARecentSample() {
      assertNull(history.covering(0));
      history.add(new Position(1, 5), 100 * MILLI);
      assertNull(history.covering(101 * MILLI));
      assertEquals(new Position(1, 5), history.covering(100 * MILLI));
    }

    @Test
    void prefersTheOldestSampleThatIsRecentEnough() {
      history.add(new Position(1, 5), 100 * MILLI);
      history.add(new Position(1, 9), 300 * MILLI);
      history.add(new Position(1, 12), 500 * MILLI);
      assertEquals(new Position(1, 9), history.covering(200 * MILLI));
    }

    @Test
    void ignoresAnswersOfAnOlderTerm() {
      history.add(new Position(2, 1), 100 * MILLI);
      history.add(new Position(1, 90), 200 * MILLI);
      assertEquals(new Position(2, 1), history.latest());
    }

    /** Guards against stale reads after an answer that states less than the end of the log. */
    @Test
    void ignoresAnswersThatStateAnEarlierPosition() {
      history.add(new Position(1, 90), 100 * MILLI);
      history.add(new Position(1, 80), 200 * MILLI);
      assertNull(history.covering(101 * MILLI));
      history.add(new Position(1, 90), 300 * MILLI);
      assertEquals(new Position(1, 90), history.covering(101 * MILLI));
    }

    /**
     * Guards against samples that are dropped to save space and leave a wrong one behind: the
     * position for a time must cover every write that was acknowledged up to that time.
     */
    @Test
    void neverMissesAWriteAcknowledgedBefore() {
      SplittableRandom random = new SplittableRandom(5);
      long[] endAt = new long[20_000];
      long end = 0;
      for (int now = 0; now < endAt.length; now++) {
        end += random.nextInt(3) == 0 ? 1 : 0;
        endAt[now] = end;
        if (random.nextInt(7) == 0) {
          history.add(new Position(1, end), now * MILLI);
        }
        int since = Math.max(0, now - random.nextInt(1_500));
        Position covering = history.covering(since * MILLI);
        assertTrue(covering == null || covering.offset() >= endAt[since]);
      }
    }
  }
}
