package org.pollenspar.load.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.pollenspar.load.connection.LoadSession;
import org.pollenspar.load.request.Check;
import org.pollenspar.load.request.KindPlan;
import org.pollenspar.load.request.LoadRequest;
import org.pollenspar.load.request.WorkAnswer;
import org.pollenspar.load.request.WorkAnswer.Outcome;

/**
 * Sends requests at their arrival without waiting for earlier ones, and follows each until its
 * outcome is settled, that is, known to be done or not run.
 *
 * <p>A write whose outcome is unknown is sent again with the same idempotency key until it is
 * settled or {@link #stopRetrying} was called; a read is not sent again. New requests are sent by
 * one thread and retries by the timer; answers are handled on threads of the HTTP client.
 */
final class RequestDispatcher {
  private static final long RETRY_MILLIS = 200;

  private final LoadPlan plan;
  private final RunSettings settings;
  private final ProxyClient client;
  private final List<LoadSession> sessions;
  private final RunStatistics statistics;
  private final RedemptionOutcomes redemptions;
  private final GuaranteeViolations violations;
  private final ReadResultValidator checks;
  private final ScheduledExecutorService timer;
  private final RandomGenerator random;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile boolean stopRetrying;
  private long sequence;

  RequestDispatcher(
      LoadPlan plan,
      RunSettings settings,
      ProxyClient client,
      List<LoadSession> sessions,
      RunStatistics statistics,
      RedemptionOutcomes redemptions,
      GuaranteeViolations violations,
      ScheduledExecutorService timer,
      RandomGenerator random) {
    this.plan = plan;
    this.settings = settings;
    this.client = client;
    this.sessions = sessions;
    this.statistics = statistics;
    this.redemptions = redemptions;
    this.violations = violations;
    this.checks = new ReadResultValidator(violations);
    this.timer = timer;
    this.random = random;
  }

  /** A request whose outcome is not settled. */
  private record Pending(
      String phase,
      KindPlan kind,
      LoadSession session,
      Map<String, String> values,
      LoadRequest call,
      long arrivedNanos) {}

  /**
   * Sends a request that arrived at {@code arrivedNanos}, unless no session can send it or too many
   * requests are in flight. Called by one thread only.
   */
  void dispatch(String phase, KindPlan kind, long arrivedNanos) {
    statistics.record(phase, kind, KindStatistics::offered);
    Map<String, String> values = new HashMap<>();
    Optional<LoadSession> session = chooseSession(kind.check(), values);
    if (session.isEmpty() || inFlight.get() >= settings.maxInFlight()) {
      session.filter(s -> kind.check() == Check.COUNTER_WRITE).ifPresent(s -> s.writeNotRun());
      statistics.record(phase, kind, KindStatistics::notSent);
      return;
    }
    int group = random.nextInt(plan.groups().size());
    boolean onCounter = kind.check() == Check.COUNTER_WRITE || kind.check() == Check.COUNTER_READ;
    String groupName = onCounter ? session.get().group() : plan.groups().get(group);
    sequence++;
    values.put("echo", settings.runId() + "-r" + sequence);
    values.put("key", settings.runId() + "-k" + sequence);
    values.put("session", session.get().id());
    values.put(
        "account", Setup.accountId(settings.runId(), group, random.nextInt(plan.accounts())));
    LoadRequest call = LoadRequest.of(kind, groupName, values);
    inFlight.incrementAndGet();
    send(new Pending(phase, kind, session.get(), values, call, arrivedNanos), false);
  }

  /** Returns the number of requests that are neither settled nor abandoned. */
  int inFlight() {
    return inFlight.get();
  }

  /**
   * From now on reports requests whose outcome is unknown as unsettled instead of retrying them.
   */
  void stopRetrying() {
    stopRetrying = true;
  }

  private Optional<LoadSession> chooseSession(Check check, Map<String, String> values) {
    int first = random.nextInt(sessions.size());
    for (int i = 0; i < sessions.size(); i++) {
      LoadSession session = sessions.get((first + i) % sessions.size());
      if (!session.available()) {
        continue;
      }
      if (check != Check.COUNTER_WRITE) {
        return Optional.of(session);
      }
      Optional<Long> value = session.startWrite();
      if (value.isPresent()) {
        values.put("value", Long.toString(value.get()));
        return Optional.of(session);
      }
    }
    return Optional.empty();
  }

  private void send(Pending pending, boolean retry) {
    // The floor must be read before the tokens: a session stores the token of a write before it
    // confirms the write, so the tokens read here cover every write up to the floor.
    long floor = pending.session().confirmed();
    List<String> tokens = pending.session().tokens();
    client
        .send(pending.call(), tokens, retry)
        .thenAccept(answer -> answered(pending, answer, tokens, floor, retry))
        .whenComplete(
            (nothing, failure) -> {
              if (failure != null) {
                violations.add(
                    "P4: could not check the answer to request "
                        + pending.values().get("echo")
                        + ": "
                        + failure);
                inFlight.decrementAndGet();
              }
            });
  }

  private void answered(
      Pending pending, WorkAnswer answer, List<String> tokens, long floor, boolean retry) {
    if (answer.outcome() != Outcome.DONE) {
      statistics.countError(answer.error());
    }
    if (answer.outcome() != Outcome.UNKNOWN) {
      pending.session().accept(tokens, answer.token());
      settle(pending, answer, floor);
      return;
    }
    if (!retry) {
      statistics.record(pending.phase(), pending.kind(), KindStatistics::unknown);
    }
    if (!pending.call().hasKey()) {
      inFlight.decrementAndGet();
    } else if (stopRetrying) {
      settle(pending, answer, floor);
    } else {
      var unused = timer.schedule(() -> send(pending, true), RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void settle(Pending pending, WorkAnswer answer, long floor) {
    KindPlan kind = pending.kind();
    if (kind.check() == Check.REDEEM) {
      redemptions.recordOutcome(
          pending.values().getOrDefault("account", ""), pending.call().key(), answer.outcome());
    }
    if (answer.outcome() == Outcome.DONE) {
      done(pending, answer, floor);
    } else if (answer.outcome() == Outcome.NOT_RUN) {
      if (kind.check() == Check.COUNTER_WRITE) {
        pending.session().writeNotRun();
      }
      statistics.record(pending.phase(), kind, KindStatistics::notRun);
    } else {
      statistics.record(pending.phase(), kind, KindStatistics::unsettled);
    }
    inFlight.decrementAndGet();
  }

  private void done(Pending pending, WorkAnswer answer, long floor) {
    KindPlan kind = pending.kind();
    checks.check(kind.check(), pending.values(), pending.session(), floor, answer);
    if (kind.check() == Check.COUNTER_WRITE) {
      pending.session().writeDone();
    }
    long now = System.nanoTime();
    long latency = now - pending.arrivedNanos();
    boolean inTime = latency <= TimeUnit.MILLISECONDS.toNanos(kind.deadlineMillis());
    statistics.record(
        pending.phase(),
        kind,
        s -> s.done(pending.call().group(), now, latency, inTime, answer.fromReplica()));
  }
}
