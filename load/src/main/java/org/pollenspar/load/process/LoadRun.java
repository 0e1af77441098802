package org.pollenspar.load.process;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.pollenspar.load.connection.LoadSession;
import org.pollenspar.load.request.KindPlan;

/**
 * A whole run: creates the data, sends requests phase by phase, waits until unknown outcomes are
 * settled, and compares the stored data with the outcomes.
 *
 * <p>The load is open-loop: requests are sent at planned times without waiting for answers, and
 * latency counts from the planned time. A generator that waited for answers would send fewer
 * requests just when the proxies are slow, and so hide the slowness.
 */
public final class LoadRun {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long SETTLE_POLL_MILLIS = 20;
  private static final String ALGORITHM = "L64X128MixRandom";

  private final LoadPlan plan;
  private final RunSettings settings;
  private final ProxyClient client;
  private final GuaranteeViolations violations = new GuaranteeViolations();
  private final RedemptionOutcomes redemptions = new RedemptionOutcomes();

  LoadRun(LoadPlan plan, RunSettings settings, ProxyClient client) {
    this.plan = plan;
    this.settings = settings;
    this.client = client;
  }

  /**
   * Runs the plan.
   *
   * @throws IOException if the tables cannot be set up or the accounts cannot be read at the end
   */
  LoadReport run() throws IOException, InterruptedException {
    List<LoadSession> sessions = new Setup(plan, settings.runId(), client).run();
    RandomGenerator random = RandomGeneratorFactory.of(ALGORITHM).create(settings.seed());
    RunStatistics statistics = new RunStatistics(plan, System.nanoTime());
    ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    try {
      RequestDispatcher callers =
          new RequestDispatcher(
              plan, settings, client, sessions, statistics, redemptions, violations, timer, random);
      statistics.recordPhase(RunStatistics.WHOLE_RUN, s -> s.phaseStarted(System.nanoTime()));
      for (LoadPlan.Phase phase : plan.phases()) {
        runPhase(phase, callers, statistics, random);
      }
      statistics.recordPhase(RunStatistics.WHOLE_RUN, s -> s.phaseEnded(System.nanoTime()));
      awaitSettled(callers);
    } finally {
      timer.shutdownNow();
    }
    new Verification(plan, settings.runId(), client, redemptions, violations).run(sessions);
    return new LoadReport(plan, statistics, violations);
  }

  private void runPhase(
      LoadPlan.Phase phase,
      RequestDispatcher callers,
      RunStatistics statistics,
      RandomGenerator random) {
    long start = System.nanoTime();
    long end = start + (long) (phase.seconds() * NANOS_PER_SECOND);
    statistics.recordPhase(phase.name(), s -> s.phaseStarted(start));
    List<KindPlan> kinds = plan.kinds();
    long[] next = new long[kinds.size()];
    for (int i = 0; i < next.length; i++) {
      next[i] = start + pauseNanos(phase.rate(kinds.get(i)), random);
    }
    for (int due = earliest(next); next[due] < end; due = earliest(next)) {
      waitUntil(next[due]);
      callers.dispatch(phase.name(), kinds.get(due), next[due]);
      next[due] += pauseNanos(phase.rate(kinds.get(due)), random);
    }
    waitUntil(end);
    statistics.recordPhase(phase.name(), s -> s.phaseEnded(System.nanoTime()));
  }

  private void awaitSettled(RequestDispatcher callers) throws InterruptedException {
    long end = System.nanoTime() + settings.settleTime().toNanos();
    while (callers.inFlight() > 0 && System.nanoTime() < end) {
      Thread.sleep(SETTLE_POLL_MILLIS);
    }
    callers.stopRetrying();
    while (callers.inFlight() > 0) {
      Thread.sleep(SETTLE_POLL_MILLIS);
    }
  }

  /**
   * Returns a random time to the next arrival. Many independent callers form a Poisson process,
   * whose times between arrivals are exponentially distributed.
   */
  private static long pauseNanos(double ratePerSecond, RandomGenerator random) {
    return ratePerSecond <= 0
        ? Long.MAX_VALUE / 4
        : (long) (random.nextExponential() / ratePerSecond * NANOS_PER_SECOND);
  }

  private static int earliest(long[] times) {
    int earliest = 0;
    for (int i = 1; i < times.length; i++) {
      if (times[i] < times[earliest]) {
        earliest = i;
      }
    }
    return earliest;
  }

  private static void waitUntil(long nanos) {
    for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
      LockSupport.parkNanos(left);
    }
  }
}
