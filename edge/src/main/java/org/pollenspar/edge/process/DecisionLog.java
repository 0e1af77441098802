package org.pollenspar.edge.process;

import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.ConnectionPool;
import org.pollenspar.core.connection.DecisionListener;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.connection.ReadPlacement;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Regions;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.version.Route;

/**
 * Logs and counts the answers to callers' statements.
 *
 * <p>The log is sampled, so that its size doesn't grow with the load: of each second, it has the
 * first successful answers and the first answers that promise that nothing ran, up to one limit
 * each. Statements that other hosts forward have lines and counts of their own, so that each answer
 * to a caller is counted once, by the host that gave it. Failures and unknown outcomes are always
 * logged. The metrics count every answer.
 *
 * <p>Not thread-safe: all calls must come from the event loop.
 */
final class DecisionLog implements DecisionListener {
  private static final int SUCCESSES_PER_SECOND = 2;
  private static final int REFUSALS_PER_SECOND = 20;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long SECOND_MS = 1_000;

  /** Where the statements come from. */
  enum Origin {
    CALLER("answered") {
      @Override
      void count(EdgeMetrics metrics, @Nullable Route route, AnswerCode code, long millis) {
        metrics.answered(route, code, millis);
      }
    },
    OTHER_HOST("ran_for_other_host") {
      @Override
      void count(EdgeMetrics metrics, @Nullable Route route, AnswerCode code, long millis) {
        metrics.counter("ran_for_other_hosts{outcome=\"" + code + "\"}").inc();
      }
    };

    private final String event;

    Origin(String event) {
      this.event = event;
    }

    abstract void count(EdgeMetrics metrics, @Nullable Route route, AnswerCode code, long millis);
  }

  private final Origin origin;
  private final EventLog log;
  private final EdgeMetrics metrics;
  private final Clocks clocks;
  private final String ownDomain;
  private final Regions regions;
  private long windowStartMillis;
  private int loggedSuccesses;
  private int loggedRefusals;

  DecisionLog(Origin origin, NodeDependencies dependencies) {
    this.origin = origin;
    this.log = dependencies.log();
    this.metrics = dependencies.metrics();
    this.clocks = dependencies.clocks();
    this.ownDomain = dependencies.self().domain();
    this.regions = dependencies.regions();
  }

  @Override
  public void answered(
      SessionRequest request,
      @Nullable Route route,
      @Nullable ConnectionPool pool,
      int attempts,
      Answer answer) {
    EventLog.@Nullable Line line = line(request, route, attempts, answer);
    if (line == null) {
      return;
    }
    if (pool != null) {
      line.text("database", pool.entry().id())
          .number("waiting", pool.waiting())
          .number("connections", pool.connections())
          .number("delay_ms", pool.delayMillis())
          .number("answer_age_ms", pool.answerAgeMillis());
    }
    add(line, answer);
  }

  @Override
  public void forwarded(
      SessionRequest request, Route route, @Nullable Member home, int attempts, Answer answer) {
    if (regions.several() && home != null) {
      String destination = regions.distance(ownDomain, home.domain()).name();
      metrics.counter("forwarded{destination=\"" + destination + "\"}").inc();
    }
    EventLog.@Nullable Line line = line(request, route, attempts, answer);
    if (line != null) {
      add(line.text("home", home == null ? "none" : home.name()), answer);
    }
  }

  @Override
  public void placed(Route route, Regions.Distance distance, ReadPlacement.Reason reason) {
    metrics
        .counter(
            "placements{priority=\""
                + route.priority()
                + "\",destination=\""
                + distance
                + "\",reason=\""
                + reason
                + "\"}")
        .inc();
  }

  /** Counts an answer and begins its line; returns null if the answer isn't logged. */
  private EventLog.@Nullable Line line(
      SessionRequest request, @Nullable Route route, int attempts, Answer answer) {
    long now = clocks.steadyNanos();
    long tookMillis = (now - request.arrivedNanos()) / NANOS_PER_MILLI;
    origin.count(metrics, route, answer.code(), tookMillis);
    if (!shouldLog(answer.code(), now / NANOS_PER_MILLI)) {
      return null;
    }
    EventLog.Line line =
        log.line(origin.event)
            .text("request", request.id())
            .text("statement", request.statement().getClass().getSimpleName())
            .text("outcome", answer.code().name())
            .number("took_ms", tookMillis)
            .number("attempts", attempts);
    if (route != null) {
      line.text("route", route.name()).number("priority", route.priority());
    }
    return line;
  }

  private void add(EventLog.Line line, Answer answer) {
    @Nullable Position position = answer.position();
    if (position != null) {
      line.text("position", position.term() + "." + position.offset());
    }
    if (!answer.ok()) {
      line.text("reason", answer.detail());
    }
    log.add(line);
  }

  private boolean shouldLog(AnswerCode code, long nowMillis) {
    if (nowMillis - windowStartMillis >= SECOND_MS) {
      windowStartMillis = nowMillis;
      loggedSuccesses = 0;
      loggedRefusals = 0;
    }
    if (code == AnswerCode.OK) {
      return loggedSuccesses++ < SUCCESSES_PER_SECOND;
    }
    return !code.hadNoEffect() || loggedRefusals++ < REFUSALS_PER_SECOND;
  }
}
