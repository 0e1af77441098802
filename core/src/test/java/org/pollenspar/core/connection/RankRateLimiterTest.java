package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards urgent work against a flood of the lowest rank at a database that many hosts share. */
class RankRateLimiterTest {
  private static final long MILLI = 1_000_000L;

  @Nested
  class OneHost {
    private final RankRateLimiter rateLimiter = new RankRateLimiter();

    /** Quick answers first: the base of a rank is what it takes when nothing is queued. */
    private void learnBase() {
      use(1, 20, 0, 500);
      use(2, 20, 500, 1_000);
    }

    private void use(int priority, long tookMillis, long fromMillis, long toMillis) {
      for (long at = fromMillis; at < toMillis; at += 10) {
        rateLimiter.tryStart(priority, at * MILLI);
        rateLimiter.used(priority, tookMillis * MILLI, at * MILLI);
      }
    }

    @Test
    void holdsNothingBackWhileAnswersAreQuick() {
      use(2, 20, 0, 2_000);
      assertFalse(rateLimiter.limited(2));
      assertEquals(0, rateLimiter.waitNanos(2, 10, 2_000 * MILLI));
    }

    @Test
    void slowsTheLowestRankFirst() {
      learnBase();
      use(1, 65, 1_000, 1_400);
      use(2, 65, 1_400, 2_000);
      assertFalse(rateLimiter.limited(1));
      assertTrue(rateLimiter.limited(2));
      assertTrue(rateLimiter.waitNanos(2, 3, 2_000 * MILLI) > 0);
    }

    @Test
    void neverSlowsTheMostUrgentRank() {
      use(0, 900, 0, 3_000);
      assertTrue(rateLimiter.tryStart(0, 3_000 * MILLI));
      assertFalse(rateLimiter.limited(0));
    }

    @Test
    void freesARankAfterTheSlownessEnded() {
      learnBase();
      use(2, 300, 1_000, 2_000);
      assertTrue(rateLimiter.limited(2));
      use(2, 20, 2_000, 8_000);
      assertFalse(rateLimiter.limited(2));
    }
  }

  /**
   * A database with 3 slots and a queue of 24 that refuses beyond, behind 17 hosts that start work
   * without knowing of each other, on simulated time in steps of 1 ms.
   */
  private static final class PacedDatabase {
    private static final int HOSTS = 17;
    private static final int SLOTS = 3;
    private static final int QUEUE = 24;
    private static final double SPREAD = 0.7;

    private record Work(
        int host, int priority, long arrivedMillis, long sentMillis, long workMillis) {
      Work sentAt(long now) {
        return new Work(host, priority, arrivedMillis, now, workMillis);
      }
    }

    private final SplittableRandom random = new SplittableRandom(7);
    private final boolean paced;
    private final List<RankRateLimiter> rateLimiters = new ArrayList<>();
    private final List<ArrayDeque<Work>> held = new ArrayList<>();
    private final ArrayDeque<Work> queue = new ArrayDeque<>();
    private final Work[] running = new Work[SLOTS];
    private final long[] endsMillis = new long[SLOTS];
    final int[] offered = new int[3];
    final int[] inTime = new int[3];

    PacedDatabase(boolean paced) {
      this.paced = paced;
      for (int i = 0; i < HOSTS; i++) {
        rateLimiters.add(new RankRateLimiter());
        held.add(new ArrayDeque<>());
      }
    }

    /** Offers work of three ranks; rates are requests a second over all hosts. */
    void play(int fromSecond, int toSecond, double urgent, double middle, double low) {
      for (long now = fromSecond * 1_000L; now < toSecond * 1_000L; now++) {
        arrive(0, urgent, 6, now);
        arrive(1, middle, 18, now);
        arrive(2, low, 30, now);
        startHeld(now);
        serve(now);
      }
    }

    private void arrive(int priority, double rate, long workMillis, long now) {
      if (random.nextDouble() < rate / 1_000) {
        offered[priority]++;
        int host = random.nextInt(HOSTS);
        held.get(host).add(new Work(host, priority, now, now, vary(workMillis)));
      }
    }

    /** Work times as wide as those of the deployments: log-normal with the given mean. */
    private long vary(long meanMillis) {
      double factor = Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2);
      return Math.max(1, Math.round(meanMillis * factor));
    }

    private void startHeld(long now) {
      for (int host = 0; host < HOSTS; host++) {
        RankRateLimiter rateLimiter = rateLimiters.get(host);
        held.get(host)
            .removeIf(
                work -> {
                  if (paced && !rateLimiter.tryStart(work.priority(), now * MILLI)) {
                    return now - work.arrivedMillis() > 1_000;
                  }
                  if (queue.size() >= QUEUE) {
                    rateLimiter.refused(now * MILLI);
                  } else {
                    queue.add(work.sentAt(now));
                  }
                  return true;
                });
      }
    }

    private void serve(long now) {
      for (int slot = 0; slot < SLOTS; slot++) {
        if (running[slot] != null && endsMillis[slot] <= now) {
          finish(running[slot], now);
          running[slot] = null;
        }
        if (running[slot] == null && !queue.isEmpty()) {
          running[slot] = queue.poll();
          endsMillis[slot] = now + running[slot].workMillis();
        }
      }
    }

    private void finish(Work work, long now) {
      long took = now - work.arrivedMillis();
      rateLimiters
          .get(work.host())
          .used(work.priority(), (now - work.sentMillis()) * MILLI, now * MILLI);
      long objective = work.priority() == 0 ? 100 : work.priority() == 1 ? 250 : 1_000;
      if (took <= objective) {
        inTime[work.priority()]++;
      }
    }
  }

  @Nested
  class ManyHosts {

    private PacedDatabase play(boolean paced, double low) {
      PacedDatabase database = new PacedDatabase(paced);
      database.play(0, 10, 40, 60, 20);
      Arrays.fill(database.offered, 0);
      Arrays.fill(database.inTime, 0);
      database.play(10, 40, 40, 60, low);
      return database;
    }

    private double share(PacedDatabase database, int priority) {
      return (double) database.inTime[priority] / database.offered[priority];
    }

    @Test
    void floodOfTheLowestRankLeavesUrgentWorkInTime() {
      PacedDatabase without = play(false, 120);
      PacedDatabase with = play(true, 120);
      System.out.printf(
          "flood: urgent in time %.3f without pacing, %.3f with; middle %.3f, %.3f; low %.3f,"
              + " %.3f%n",
          share(without, 0),
          share(with, 0),
          share(without, 1),
          share(with, 1),
          share(without, 2),
          share(with, 2));
      assertTrue(share(with, 0) > 0.9, "urgent work in time: " + share(with, 0));
      assertTrue(share(with, 0) > share(without, 0));
      assertTrue(share(with, 2) > 0, "the lowest rank gets nothing");
    }

    @Test
    void ordinaryLoadIsServedInTimeForAllRanks() {
      PacedDatabase with = play(true, 20);
      for (int priority = 0; priority < 3; priority++) {
        assertTrue(share(with, priority) > 0.95, "rank " + priority + ": " + share(with, priority));
      }
    }
  }
}
