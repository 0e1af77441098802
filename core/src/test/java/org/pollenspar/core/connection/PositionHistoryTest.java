package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.ClockReading;

/** Guards against required positions that let a read miss a write that it has to see. */
class PositionHistoryTest {
  private static final long MILLI = 1_000_000L;
  private final PositionHistory history = new PositionHistory();

  private static ClockReading at(long millis) {
    return at(millis, millis);
  }

  private static ClockReading at(long steadyMillis, long wallMillis) {
    return new ClockReading(steadyMillis * MILLI, wallMillis);
  }

  private Position covering(long sinceMillis) {
    return history.covering(at(sinceMillis), 0);
  }

  @Nested
  class Covering {

    @Test
    void isUnknownWithoutARecentSample() {
      assertNull(covering(0));
      history.add(new Position(1, 5), at(100));
      assertNull(covering(101));
      assertEquals(new Position(1, 5), covering(100));
    }

    @Test
    void prefersTheOldestSampleThatIsRecentEnough() {
      history.add(new Position(1, 5), at(100));
      history.add(new Position(1, 9), at(300));
      history.add(new Position(1, 12), at(500));
      assertEquals(new Position(1, 9), covering(200));
    }

    @Test
    void ignoresAnswersOfAnOlderTerm() {
      history.add(new Position(2, 1), at(100));
      history.add(new Position(1, 90), at(200));
      assertEquals(new Position(2, 1), history.latest());
    }

    /**
     * Guards against a sample that a suspension, during which the steady clock stood, keeps recent.
     */
    @Test
    void agesByTheLargerAdvanceOfTheClocks() {
      history.add(new Position(1, 5), at(100, 100));
      assertEquals(new Position(1, 5), history.covering(at(101, 1_100), 1_000 * MILLI));
      assertNull(history.covering(at(101, 1_101), 1_000 * MILLI));
      assertNull(history.covering(at(1_101, 0), 1_000 * MILLI));
    }

    /** Guards against a suspension that a time of day, set back before it, hides. */
    @Test
    void ignoresSamplesBeforeOneThatIsTooOld() {
      history.add(new Position(1, 5), at(100, 9_000));
      history.add(new Position(1, 6), at(200, 100));
      assertNull(history.covering(at(300, 5_000), 1_000 * MILLI));
      history.add(new Position(1, 7), at(400, 5_100));
      assertEquals(new Position(1, 7), history.covering(at(400, 5_100), 1_000 * MILLI));
    }

    /** Guards against stale reads after an answer that states less than the end of the log. */
    @Test
    void ignoresAnswersThatStateAnEarlierPosition() {
      history.add(new Position(1, 90), at(100));
      history.add(new Position(1, 80), at(200));
      assertNull(covering(101));
      history.add(new Position(1, 90), at(300));
      assertEquals(new Position(1, 90), covering(101));
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
          history.add(new Position(1, end), at(now));
        }
        int since = Math.max(0, now - random.nextInt(1_500));
        Position covering = covering(since);
        assertTrue(covering == null || covering.offset() >= endAt[since]);
      }
    }
  }
}
