package org.pollenspar.core.connection;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.Route;

/**
 * Runs one statement outside a transaction at a home host.
 *
 * <p>A statement that certainly didn't run is sent to the next home. One whose answer is lost is
 * sent again only if it is a read; a write is in doubt then.
 */
final class ForwardedStatement implements StatementExecutor.StatementExecution {
  private final ForwardingExecutor executor;
  private final SessionContext context;
  private final Route route;
  private final SessionState sessionState;
  private final SessionRequest request;
  private final @Nullable Position lastCommit;
  private final Consumer<Answer> done;
  private final boolean writes;
  private final Set<Member> tried = new HashSet<>();
  private Timers.@Nullable Timer timeout;
  private @Nullable Member home;
  private @Nullable HomeChannel channel;
  private long id;
  private @Nullable Answer lastRefusal;
  private boolean mayHaveRun;
  private boolean abandoned;
  private boolean finished;

  ForwardedStatement(
      ForwardingExecutor executor,
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
    this.writes = sessionState.writes(request.statement());
  }

  @Override
  public void start() {
    long limit = route.statementTimeoutMillis() + ForwardingExecutor.ANSWER_MARGIN_MS;
    timeout = context.timers().after(limit, this::onTimeout);
    attempt();
  }

  private void attempt() {
    @Nullable Member next =
        abandoned ? null : executor.next(route.group(), sessionState.organisation(), tried);
    if (next == null) {
      finish(
          lastRefusal != null
              ? lastRefusal
              : error(AnswerCode.BUSY, ForwardingExecutor.noHome(route.group())));
      return;
    }
    tried.add(next);
    home = next;
    HomeChannel used = executor.channels().channel(next);
    channel = used;
    id =
        used.forward(
            ForwardedRequest.of(
                route, sessionState, request, lastCommit, null, context.clocks().steadyNanos()),
            outcome -> completed(next, outcome));
  }

  private void completed(Member by, ForwardOutcome outcome) {
    if (finished) {
      return;
    }
    executor.homes().record(route.group(), by, outcome.kind());
    mayHaveRun |= outcome.mayHaveRun();
    if (outcome.kind() == ForwardOutcome.Kind.ANSWERED) {
      finish(outcome.answer());
    } else if (outcome.kind().nothingRan()) {
      lastRefusal = outcome.answer();
      attempt();
    } else if (writes) {
      finish(
          error(
              AnswerCode.IN_DOUBT,
              "the answer of the home host was lost; read the item before writing it again"));
    } else {
      lastRefusal = error(AnswerCode.FAILED, "the answer of the home host was lost; retry");
      attempt();
    }
  }

  @Override
  public void abandon() {
    abandoned = true;
    if (!finished && channel != null) {
      channel.end(id);
    }
  }

  private void onTimeout() {
    if (finished) {
      return;
    }
    // The home answers within its own time limit, so it or the way to it is silent.
    if (home != null) {
      executor.homes().record(route.group(), home, ForwardOutcome.Kind.LOST);
    }
    abandon();
    finish(error(AnswerCode.TIMED_OUT, "the home host did not answer within the time limit"));
  }

  private static Answer error(AnswerCode code, String detail) {
    return Answer.error(code, detail, TransactionState.IDLE);
  }

  private void finish(Answer answer) {
    finished = true;
    if (timeout != null) {
      timeout.cancel();
    }
    context.decisions().forwarded(request, route, home, tried.size(), answer);
    done.accept(answer.afterAttempts(mayHaveRun));
  }
}
