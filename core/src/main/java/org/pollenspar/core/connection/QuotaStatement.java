package org.pollenspar.core.connection;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.Route;

/**
 * A statement outside a transaction that needs a grant of its organisation's limit. The wait for
 * the grant counts towards the time limit of the statement. The caller's key may be removed
 * meanwhile, so it is checked again before the statement is sent.
 */
final class QuotaStatement implements StatementExecutor.StatementExecution {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final QuotaExecutor executor;
  private final SessionContext context;
  private final Route route;
  private final SessionState sessionState;
  private final SessionRequest request;
  private final @Nullable Position lastCommit;
  private final Consumer<Answer> done;
  private Timers.@Nullable Timer timeout;
  private @Nullable Runnable withdraw;
  private StatementExecutor.@Nullable StatementExecution execution;
  private long askedNanos;
  private boolean ended;

  QuotaStatement(
      QuotaExecutor executor,
      SessionContext context,
      Route route,
      SessionState sessionState,
      SessionRequest request,
      @Nullable Position lastCommit,
      Consumer<Answer> done) {
    this.executor = executor;
    this.context = context;
    this.route = route;
    this.sessionState = sessionState;
    this.request = request;
    this.lastCommit = lastCommit;
    this.done = done;
  }

  @Override
  public void start() {
    askedNanos = context.clocks().steadyNanos();
    timeout =
        context
            .timers()
            .after(
                route.statementTimeoutMillis(),
                () -> end("the rate limit wasn't decided in time; retry in 300 ms"));
    withdraw =
        executor.ask(
            context,
            sessionState,
            new QuotaClient.Callback() {
              @Override
              public void granted(Runnable giveBack) {
                if (sessionState.admitted()) {
                  run(giveBack);
                } else {
                  giveBack.run();
                  end(CallerSession.DENIED);
                }
              }

              @Override
              public void refused(long retryAfterMillis) {
                end(QuotaExecutor.refusal(sessionState, retryAfterMillis));
              }
            });
  }

  private void run(Runnable giveBack) {
    stopTimer();
    long waitedMillis = (context.clocks().steadyNanos() - askedNanos) / NANOS_PER_MILLI;
    Route rest =
        waitedMillis == 0
            ? route
            : route.withStatementTimeout(
                Math.max(1, route.statementTimeoutMillis() - waitedMillis));
    StatementExecutor.StatementExecution started =
        executor
            .executor()
            .statement(
                context,
                rest,
                sessionState,
                request,
                lastCommit,
                answer -> {
                  if (answer.nothingRan()) {
                    giveBack.run();
                  }
                  done.accept(answer);
                });
    execution = started;
    started.start();
  }

  @Override
  public void abandon() {
    if (execution != null) {
      execution.abandon();
    } else {
      end("the caller disconnected");
    }
  }

  private void stopTimer() {
    if (timeout != null) {
      timeout.cancel();
      timeout = null;
    }
  }

  /** Refuses the statement, which waits for its grant. */
  private void end(String reason) {
    if (ended) {
      return;
    }
    ended = true;
    stopTimer();
    if (withdraw != null) {
      withdraw.run();
    }
    Answer answer =
        sessionState.admitted()
            ? Answer.error(AnswerCode.BUSY, reason, TransactionState.IDLE)
            : Answer.error(AnswerCode.DENIED, CallerSession.DENIED, TransactionState.IDLE);
    context.decisions().answered(request, route, null, 0, answer);
    done.accept(answer);
  }
}
