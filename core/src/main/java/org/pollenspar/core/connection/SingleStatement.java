package org.pollenspar.core.connection;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ClockReading;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;

/**
 * Runs one statement outside a transaction.
 *
 * <p>A write is sent at most once. A read is sent again, elsewhere if possible, after an answer
 * that can't be used; the number of attempts is bounded, so that retries do not multiply an
 * overload.
 */
final class SingleStatement implements ConnectionRequest {
  private static final int ATTEMPTS = 4;

  /** Difference between the clocks that shows that this host was suspended during a read. */
  private static final long SUSPENDED_MS = 300;

  private final SessionContext context;
  private final Route route;
  private final GroupRouter group;
  private final SessionState sessionState;
  private final SessionRequest request;
  private final @Nullable Position own;
  private final Consumer<Answer> done;
  private final boolean writes;
  private final Set<ConnectionPool> avoid = new HashSet<>();
  private Timers.@Nullable Timer timeout;
  private GroupRouter.@Nullable ReadTarget target;
  private @Nullable PooledDatabaseConnection connection;
  private @Nullable String refusal;
  private int attempts;
  private long grantedNanos;
  private boolean sent;
  private boolean timedOut;
  private boolean finished;

  SingleStatement(
      SessionContext context,
      Route route,
      GroupRouter group,
      SessionState sessionState,
      SessionRequest request,
      @Nullable Position own,
      Consumer<Answer> done) {
    this.context = context;
    this.route = route;
    this.group = group;
    this.sessionState = sessionState;
    this.request = request;
    this.own = own;
    this.done = done;
    this.writes = sessionState.writes(request.statement());
  }

  void start() {
    timeout = context.timers().after(route.statementTimeoutMillis(), this::onTimeout);
    attempt();
  }

  /** The caller left: what waits is withdrawn, what runs ends without a recipient. */
  void abandon() {
    if (target != null && target.pool().withdraw(this)) {
      finish(AnswerCode.BUSY, "the caller left");
    }
  }

  private void attempt() {
    attempts++;
    GroupRouter.@Nullable ReadTarget next = choose();
    target = next;
    if (next == null) {
      finish(AnswerCode.BUSY, refusal != null ? refusal : unavailable());
    } else {
      next.pool().acquire(this);
    }
  }

  private GroupRouter.@Nullable ReadTarget choose() {
    if (!writes) {
      return group.readTarget(route, own, avoid);
    }
    @Nullable ConnectionPool primary = group.primary();
    return primary == null ? null : new GroupRouter.ReadTarget(primary, null, true);
  }

  private String unavailable() {
    return "no database of group " + group.group() + " can run this now; retry in 300 ms";
  }

  @Override
  public int priority() {
    return route.priority();
  }

  @Override
  public long maxWaitNanos() {
    return context.maxWaitNanos(route, request);
  }

  @Override
  public SessionState sessionState() {
    return sessionState;
  }

  @Override
  public void refused(AnswerCode code, String reason) {
    GroupRouter.@Nullable ReadTarget refusedBy = target;
    refusal = reason;
    if (!writes && refusedBy != null && attempts < ATTEMPTS) {
      avoid.add(refusedBy.pool());
      attempt();
    } else {
      finish(code, reason);
    }
  }

  @Override
  public void granted(PooledDatabaseConnection granted) {
    connection = granted;
    grantedNanos = context.clocks().steadyNanos();
    granted.prepare(
        sessionState,
        sessionState.shapeOf(request.statement()),
        failure -> {
          if (failure == null) {
            send(granted);
          } else {
            granted.pool().discard(granted);
            connection = null;
            retryOr(timedOut ? AnswerCode.TIMED_OUT : AnswerCode.BUSY, failure.detail());
          }
        });
  }

  private void send(PooledDatabaseConnection to) {
    GroupRouter.@Nullable ReadTarget at = target;
    if (at == null || (at.primary() && group.primary() != at.pool())) {
      release();
      retryOr(AnswerCode.BUSY, unavailable());
      return;
    }
    @Nullable Position after = at.primary() ? null : group.needed(route, own);
    if (!at.primary() && after == null) {
      release();
      retryOr(AnswerCode.LAGGING, "the end of the primary's log is not known");
      return;
    }
    ClockReading now = ClockReading.now(context.clocks());
    sent = true;
    if (writes) {
      group.authority().writeStarted(group.group());
    }
    long term = group.term();
    to.run(
        new DatabaseCommand.Forward(request.id(), request.statement(), preparedName(to), after),
        answer -> completed(to, answer, now, term));
  }

  private @Nullable String preparedName(PooledDatabaseConnection to) {
    var shape = sessionState.shapeOf(request.statement());
    return shape == null ? null : to.preparedName(shape);
  }

  private void completed(
      PooledDatabaseConnection from, Answer answer, ClockReading sentAt, long term) {
    ConnectionPool pool = from.pool();
    if (answer.code() != AnswerCode.LOST) {
      group.observe(pool, route.priority(), answer, sentAt.steadyNanos());
    }
    if (answer.code() == AnswerCode.NO_SUCH_STATEMENT) {
      from.forgetNames();
      sent = false;
    }
    release();
    if (writes && answer.code() == AnswerCode.NO_SUCH_STATEMENT) {
      group.authority().writeEnded(group.group());
      retryOr(answer.code(), answer.detail());
    } else if (writes) {
      finishWrite(pool, answer, term);
      group.authority().writeEnded(group.group());
    } else if (!answer.ok()) {
      readFailed(pool, answer);
    } else if (stale(pool, sentAt, term)) {
      retryOr(AnswerCode.BUSY, "the answer may be out of date");
    } else {
      pool.markUpToDate();
      finish(answer);
    }
  }

  private void finishWrite(ConnectionPool pool, Answer answer, long term) {
    boolean reportable =
        !answer.ok()
            || group.authority().mayAcknowledgeWrite(group.group(), pool.entry().id(), term);
    if (answer.code() == AnswerCode.LOST) {
      finish(
          timedOut ? AnswerCode.TIMED_OUT : AnswerCode.IN_DOUBT,
          "the database's answer did not arrive; read the item before writing it again");
    } else if (!reportable) {
      finish(AnswerCode.IN_DOUBT, "the primary is being replaced; read the item first");
    } else {
      finish(answer);
    }
  }

  private void readFailed(ConnectionPool pool, Answer answer) {
    if (answer.code() != AnswerCode.NO_SUCH_STATEMENT) {
      avoid.add(pool);
    }
    if (answer.code() == AnswerCode.LAGGING) {
      pool.markLagging();
    }
    if (timedOut) {
      finish(AnswerCode.TIMED_OUT, "the statement exceeded the time limit of its route");
    } else {
      AnswerCode code = answer.code() == AnswerCode.LOST ? AnswerCode.FAILED : answer.code();
      retryOr(code, answer.detail());
    }
  }

  /** Returns whether the evidence on which a read was sent no longer stands. */
  private boolean stale(ConnectionPool pool, ClockReading sentAt, long term) {
    GroupRouter.@Nullable ReadTarget at = target;
    if (at != null && at.primary()) {
      return !group.authority().leads(group.group(), pool.entry().id(), term);
    }
    return sentAt.pausedMillis(context.clocks()) > SUSPENDED_MS;
  }

  private void retryOr(AnswerCode code, String detail) {
    boolean mayRepeat = !writes || !sent;
    if (mayRepeat && !timedOut && attempts < ATTEMPTS) {
      if (route.kind() == RouteKind.PRIMARY || writes) {
        avoid.clear();
      }
      attempt();
    } else {
      finish(code, detail);
    }
  }

  private void release() {
    @Nullable PooledDatabaseConnection used = connection;
    connection = null;
    if (used != null) {
      used.pool().release(used, grantedNanos);
    }
  }

  private void onTimeout() {
    if (finished) {
      return;
    }
    GroupRouter.@Nullable ReadTarget at = target;
    @Nullable PooledDatabaseConnection used = connection;
    if (used != null) {
      timedOut = true;
      used.pool().timedOut(used, route.statementTimeoutMillis());
    } else if (at != null && at.pool().withdraw(this)) {
      finish(AnswerCode.BUSY, "no connection became free; retry later");
    }
  }

  private void finish(AnswerCode code, String detail) {
    finish(Answer.error(code, detail, TransactionState.IDLE));
  }

  private void finish(Answer answer) {
    if (finished) {
      return;
    }
    finished = true;
    if (timeout != null) {
      timeout.cancel();
    }
    @Nullable ConnectionPool pool = target == null ? null : target.pool();
    context.decisions().answered(request, route, pool, attempts, answer);
    done.accept(answer);
  }
}
