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

/**
 * Guards against urgent requests that miss their deadlines because too many requests of the lowest
 * rank fill the queue of a database that many hosts share. The database serves in order of arrival,
 * so only the rate limits of the hosts keep its queue short.
 */
class RankRateLimiterTest {
  private static final long MILLI = 1_000_000L;

  @Nested
  class OneHost {
    private final RankRateLimiter rateLimiter = new RankRateLimiter();

    /** Records fast answers, so that the limiter knows the latency of each rank without a queue. */
    private void recordBaseline() {
      recordAnswers(1, 20, 0, 500);
      recordAnswers(2, 20, 500, 1_000);
    }

    private void recordAnswers(int priority, long tookMillis, long fromMillis, long toMillis) {
      for (long at = fromMillis; at < toMillis; at += 10) {
        rateLimiter.tryStart(priority, at * MILLI);
        rateLimiter.recordLatency(priority, tookMillis * MILLI, at * MILLI);
      }
    }

    @Test
    void limitsNothingWhileAnswersAreFast() {
      recordAnswers(2, 20, 0, 2_000);
      assertFalse(rateLimiter.limited(2));
      assertEquals(0, rateLimiter.waitNanos(2, 10, 2_000 * MILLI));
    }

    @Test
    void limitsTheLowestRankFirst() {
      recordBaseline();
      recordAnswers(1, 65, 1_000, 1_400);
      recordAnswers(2, 65, 1_400, 2_000);
      assertFalse(rateLimiter.limited(1));
      assertTrue(rateLimiter.limited(2));
      assertTrue(rateLimiter.waitNanos(2, 3, 2_000 * MILLI) > 0);
    }

    @Test
    void neverLimitsTheMostUrgentRank() {
      recordAnswers(0, 900, 0, 3_000);
      assertTrue(rateLimiter.tryStart(0, 3_000 * MILLI));
      assertFalse(rateLimiter.limited(0));
    }

    @Test
    void liftsTheLimitAfterTheDelayHasEnded() {
      recordBaseline();
      recordAnswers(2, 300, 1_000, 2_000);
      assertTrue(rateLimiter.limited(2));
      recordAnswers(2, 20, 2_000, 8_000);
      assertFalse(rateLimiter.limited(2));
    }
  }

  /**
   * Simulation of 17 hosts that use one database and do not communicate. The database has 3 slots
   * and a queue of 24, and refuses requests while the queue is full. Time advances in steps of 1
   * ms.
   */
  private static final class ManyHostsSimulation {
    private static final int HOSTS = 17;
    private static final int SLOTS = 3;
    private static final int QUEUE = 24;
    private static final double LOG_NORMAL_SIGMA = 0.7;

    private record Work(
        int host, int priority, long arrivedMillis, long sentMillis, long workMillis) {
      Work sentAt(long now) {
        return new Work(host, priority, arrivedMillis, now, workMillis);
      }
    }

    private final SplittableRandom random = new SplittableRandom(7);
    private final boolean rateLimited;
    private final List<RankRateLimiter> rateLimiters = new ArrayList<>();
    private final List<ArrayDeque<Work>> waiting = new ArrayList<>();
    private final ArrayDeque<Work> queue = new ArrayDeque<>();
    private final Work[] running = new Work[SLOTS];
    private final long[] endsMillis = new long[SLOTS];
    final int[] offered = new int[3];
    final int[] inTime = new int[3];

    ManyHostsSimulation(boolean rateLimited) {
      this.rateLimited = rateLimited;
      for (int i = 0; i < HOSTS; i++) {
        rateLimiters.add(new RankRateLimiter());
        waiting.add(new ArrayDeque<>());
      }
    }

    /** Applies a load of three ranks; the rates are requests per second over all hosts. */
    void applyLoad(int fromSecond, int toSecond, double urgent, double middle, double low) {
      for (long now = fromSecond * 1_000L; now < toSecond * 1_000L; now++) {
        arrive(0, urgent, 6, now);
        arrive(1, middle, 18, now);
        arrive(2, low, 30, now);
        startWaiting(now);
        serve(now);
      }
    }

    private void arrive(int priority, double rate, long workMillis, long now) {
      if (random.nextDouble() < rate / 1_000) {
        offered[priority]++;
        int host = random.nextInt(HOSTS);
        waiting.get(host).add(new Work(host, priority, now, now, randomWorkMillis(workMillis)));
      }
    }

    /** Returns a log-normal work time with this mean, as widely spread as in the deployments. */
    private long randomWorkMillis(long meanMillis) {
      double factor =
          Math.exp(
              LOG_NORMAL_SIGMA * random.nextGaussian() - LOG_NORMAL_SIGMA * LOG_NORMAL_SIGMA / 2);
      return Math.max(1, Math.round(meanMillis * factor));
    }

    private void startWaiting(long now) {
      for (int host = 0; host < HOSTS; host++) {
        RankRateLimiter rateLimiter = rateLimiters.get(host);
        waiting
            .get(host)
            .removeIf(
                work -> {
                  if (rateLimited && !rateLimiter.tryStart(work.priority(), now * MILLI)) {
                    return now - work.arrivedMillis() > 1_000;
                  }
                  if (queue.size() >= QUEUE) {
                    rateLimiter.recordQueueFull(now * MILLI);
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
          .recordLatency(work.priority(), (now - work.sentMillis()) * MILLI, now * MILLI);
      long objective = work.priority() == 0 ? 100 : work.priority() == 1 ? 250 : 1_000;
      if (took <= objective) {
        inTime[work.priority()]++;
      }
    }
  }

  @Nested
  class ManyHosts {

    private ManyHostsSimulation applyLoad(boolean rateLimited, double low) {
      ManyHostsSimulation database = new ManyHostsSimulation(rateLimited);
      database.applyLoad(0, 10, 40, 60, 20);
      Arrays.fill(database.offered, 0);
      Arrays.fill(database.inTime, 0);
      database.applyLoad(10, 40, 40, 60, low);
      return database;
    }

    private double shareInTime(ManyHostsSimulation database, int priority) {
      return (double) database.inTime[priority] / database.offered[priority];
    }

    @Test
    void urgentWorkIsInTimeDuringAnOverloadByTheLowestRank() {
      ManyHostsSimulation without = applyLoad(false, 120);
      ManyHostsSimulation with = applyLoad(true, 120);
      System.out.printf(
          "overload by the lowest rank: urgent in time %.3f without rate limits, %.3f with;"
              + " middle %.3f, %.3f; low %.3f, %.3f%n",
          shareInTime(without, 0),
          shareInTime(with, 0),
          shareInTime(without, 1),
          shareInTime(with, 1),
          shareInTime(without, 2),
          shareInTime(with, 2));
      assertTrue(shareInTime(with, 0) > 0.9, "urgent work in time: " + shareInTime(with, 0));
      assertTrue(shareInTime(with, 0) > shareInTime(without, 0));
      assertTrue(shareInTime(with, 2) > 0, "the lowest rank gets nothing");
    }

    @Test
    void allRanksAreInTimeUnderOrdinaryLoad() {
      ManyHostsSimulation with = applyLoad(true, 20);
      for (int priority = 0; priority < 3; priority++) {
        assertTrue(
            shareInTime(with, priority) > 0.95,
            "rank " + priority + ": " + shareInTime(with, priority));
      }
    }
  }
}
