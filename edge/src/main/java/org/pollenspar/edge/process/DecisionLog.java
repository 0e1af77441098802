package org.pollenspar.edge.process;

import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.ConnectionPool;
import org.pollenspar.core.connection.DecisionListener;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.version.Route;

/**
 * Logs and counts the answers to callers' statements.
 *
 * <p>The log is sampled, so that its size doesn't grow with the load: of each second, it has the
 * first successful answers and the first answers that promise that nothing ran, up to one limit
 * each. Failures and unknown outcomes are always logged. The metrics count every answer.
 *
 * <p>Not thread-safe: all calls must come from the event loop.
 */
final class DecisionLog implements DecisionListener {
  private static final int SUCCESSES_PER_SECOND = 2;
  private static final int REFUSALS_PER_SECOND = 20;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long SECOND_MS = 1_000;

  private final EventLog log;
  private final EdgeMetrics metrics;
  private final Clocks clocks;
  private long windowStartMillis;
  private int loggedSuccesses;
  private int loggedRefusals;

  DecisionLog(EventLog log, EdgeMetrics metrics, Clocks clocks) {
    this.log = log;
    this.metrics = metrics;
    this.clocks = clocks;
  }

  @Override
  public void answered(
      SessionRequest request,
      @Nullable Route route,
      @Nullable ConnectionPool pool,
      int attempts,
      Answer answer) {
    long now = clocks.steadyNanos();
    long tookMillis = (now - request.arrivedNanos()) / NANOS_PER_MILLI;
    metrics.answered(route, answer.code(), tookMillis);
    if (!shouldLog(answer.code(), now / NANOS_PER_MILLI)) {
      return;
    }
    EventLog.Line line =
        log.line("answered")
            .text("request", request.id())
            .text("statement", request.statement().getClass().getSimpleName())
            .text("outcome", answer.code().name())
            .number("took_ms", tookMillis)
            .number("attempts", attempts);
    if (route != null) {
      line.text("route", route.name()).number("priority", route.priority());
    }
    if (pool != null) {
      line.text("database", pool.entry().id())
          .number("waiting", pool.waiting())
          .number("connections", pool.connections())
          .number("delay_ms", pool.delayMillis())
          .number("answer_age_ms", pool.answerAgeMillis());
    }
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
