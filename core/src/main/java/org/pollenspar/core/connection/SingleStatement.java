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
 * <p>A write is sent at most once, since a write without an answer may have run. It is sent again
 * only if the database answered that it doesn't know the prepared statement, since nothing ran
 * then. A read is retried, at another database if possible, after an answer that can't be used. The
 * number of attempts is limited, so that retries do not amplify an overload.
 *
 * <p>An answer is checked again when it arrives. A read of the primary is dropped if the primary
 * may have been replaced since, and a read of a replica if this host was paused meanwhile. While
 * the primary is being replaced, the success of a write is reported only until this host has
 * acknowledged the revocation of the primary; after that the write is in doubt.
 */
final class SingleStatement implements StatementExecutor.StatementExecution, ConnectionRequest {
  static final int MAX_ATTEMPTS = 4;

  /** Interval in which an attempt beyond its limit is checked again if it may not be ended yet. */
  private static final long ATTEMPT_CHECK_MS = 20;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final SessionContext context;
  private final Route route;
  private final GroupRouter router;
  private final SessionState sessionState;
  private final SessionRequest request;
  private final @Nullable Position lastCommitPosition;
  private final Consumer<Answer> done;
  private final boolean writes;
  private final Set<ConnectionPool> excluded = new HashSet<>();

  /** Databases that answered this read with an error. */
  private final Set<ConnectionPool> failedAt = new HashSet<>();

  private Timers.@Nullable Timer timeout;
  private Timers.@Nullable Timer attemptTimer;
  private GroupRouter.@Nullable StatementTarget target;
  private @Nullable PooledDatabaseConnection connection;
  private @Nullable String refusalReason;
  private int attempts;
  private long grantedNanos;
  private boolean sent;

  /** Whether an attempt was sent that may have run, as its answer doesn't show the contrary. */
  private boolean mayHaveRun;

  private boolean timedOut;
  private boolean finished;

  SingleStatement(
      SessionContext context,
      Route route,
      GroupRouter router,
      SessionState sessionState,
      SessionRequest request,
      @Nullable Position lastCommitPosition,
      Consumer<Answer> done) {
    this.context = context;
    this.route = route;
    this.router = router;
    this.sessionState = sessionState;
    this.request = request;
    this.lastCommitPosition = lastCommitPosition;
    this.done = done;
    this.writes = sessionState.writes(request.statement());
  }

  @Override
  public void start() {
    timeout = context.timers().after(route.statementTimeoutMillis(), this::onTimeout);
    attempt();
  }

  @Override
  public void abandon() {
    if (target != null && target.pool().withdraw(this)) {
      finish(AnswerCode.BUSY, "the caller disconnected");
    }
  }

  private void attempt() {
    attempts++;
    GroupRouter.@Nullable StatementTarget next = choose();
    target = next;
    if (next == null) {
      finish(AnswerCode.BUSY, refusalReason != null ? refusalReason : unavailable());
    } else {
      if (next.placement() != null) {
        context.decisions().placed(route, next.placement().distance(), next.placement().reason());
      }
      next.pool().acquire(this);
    }
  }

  private GroupRouter.@Nullable StatementTarget choose() {
    if (!writes) {
      return router.readTarget(
          route, sessionState.organisation(), lastCommitPosition, excluded, maxWaitNanos());
    }
    return router.primaryTarget();
  }

  private String unavailable() {
    return unavailable(router.group());
  }

  static String unavailable(String group) {
    return "no database of group " + group + " can run this now; retry in 300 ms";
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
    GroupRouter.@Nullable StatementTarget refusedBy = target;
    refusalReason = reason;
    if (!writes && refusedBy != null && attempts < MAX_ATTEMPTS) {
      excluded.add(refusedBy.pool());
      attempt();
    } else {
      finish(code, reason);
    }
  }

  @Override
  public void granted(PooledDatabaseConnection granted) {
    connection = granted;
    grantedNanos = context.clocks().steadyNanos();
    limitAttempt(granted, grantedNanos);
    granted.restoreSession(
        sessionState,
        sessionState.shapeOf(request.statement()),
        failure -> {
          if (failure == null) {
            send(granted);
          } else {
            restoreFailed(granted.pool(), failure);
            granted.pool().discard(granted);
            connection = null;
            retryOr(timedOut ? AnswerCode.TIMED_OUT : AnswerCode.BUSY, failure.detail());
          }
        });
  }

  private void send(PooledDatabaseConnection to) {
    GroupRouter.@Nullable StatementTarget at = target;
    if (at == null || (at.primary() && router.primary() != at.pool())) {
      release();
      retryOr(AnswerCode.BUSY, unavailable());
      return;
    }
    @Nullable Position requiredPosition =
        at.primary() ? null : router.requiredPosition(route, lastCommitPosition);
    if (!at.primary() && requiredPosition == null) {
      release();
      retryOr(AnswerCode.LAGGING, "no recent position of the primary's log is known; retry later");
      return;
    }
    ClockReading sentAt = ClockReading.now(context.clocks());
    sent = true;
    if (writes) {
      router.authority().writeStarted(router.group());
    }
    long term = router.term();
    @Nullable Position latest = router.latestPosition();
    to.run(
        new DatabaseCommand.Forward(
            request.id(), request.statement(), preparedName(to), requiredPosition),
        answer ->
            completed(
                to,
                writes ? GroupRouter.checkedCommit(answer, latest, term) : answer,
                sentAt,
                term));
  }

  /**
   * Records the errors of the databases that this read was tried at before. Only the success of
   * another database shows that the read itself is valid.
   */
  private void readSucceeded() {
    Answer error = Answer.error(AnswerCode.FAILED, "", TransactionState.IDLE);
    failedAt.forEach(pool -> router.recordFailedRead(pool, error, true));
  }

  /**
   * Records that the session's values couldn't be restored, so that a read is repeated elsewhere.
   */
  private void restoreFailed(ConnectionPool pool, Answer failure) {
    stopAttemptTimer();
    router.recordFailedRead(pool, failure, !writes);
    if (!writes && router.mayReadElsewhere(route, lastCommitPosition, pool, excluded)) {
      excluded.add(pool);
    }
  }

  /** Limits the attempt if it is a read that another database may answer. */
  private void limitAttempt(PooledDatabaseConnection at, long sentNanos) {
    long limitMillis =
        writes || route.kind() == RouteKind.PRIMARY ? -1 : router.attemptLimit().millis(route);
    if (limitMillis >= 0) {
      checkAttemptAfter(limitMillis, at, sentNanos, limitMillis);
    }
  }

  private void checkAttemptAfter(
      long millis, PooledDatabaseConnection at, long sentNanos, long limitMillis) {
    long dueNanos = context.clocks().steadyNanos() + millis * NANOS_PER_MILLI;
    attemptTimer =
        context.timers().after(millis, () -> endAttempt(at, sentNanos, limitMillis, dueNanos));
  }

  /**
   * Ends the attempt by closing its connection, or checks again later: also if this host was paused
   * and may not have read an answer that has arrived.
   */
  private void endAttempt(
      PooledDatabaseConnection at, long sentNanos, long limitMillis, long dueNanos) {
    boolean paused = context.clocks().steadyNanos() - dueNanos > ATTEMPT_CHECK_MS * NANOS_PER_MILLI;
    if (!paused
        && !timedOut
        && attempts < MAX_ATTEMPTS
        && router.mayReadElsewhere(route, lastCommitPosition, at.pool(), excluded)
        && router.attemptLimit().tryEnd(at.pool(), route, sentNanos, limitMillis)) {
      at.close();
    } else {
      checkAttemptAfter(ATTEMPT_CHECK_MS, at, sentNanos, limitMillis);
    }
  }

  private void stopAttemptTimer() {
    if (attemptTimer != null) {
      attemptTimer.cancel();
      attemptTimer = null;
    }
  }

  private @Nullable String preparedName(PooledDatabaseConnection to) {
    var shape = sessionState.shapeOf(request.statement());
    return shape == null ? null : to.preparedName(shape);
  }

  private void completed(
      PooledDatabaseConnection from, Answer answer, ClockReading sentAt, long term) {
    ConnectionPool pool = from.pool();
    mayHaveRun |= !answer.code().nothingRan();
    boolean read = !writes && answer.code() != AnswerCode.FAILED;
    router.observe(pool, route, answer, sentAt, read);
    if (answer.code() == AnswerCode.NO_SUCH_STATEMENT) {
      from.clearPreparedNames();
      sent = false;
    }
    release();
    if (writes && answer.code() == AnswerCode.NO_SUCH_STATEMENT) {
      router.authority().writeEnded(router.group());
      retryOr(answer.code(), answer.detail());
    } else if (writes) {
      finishWrite(pool, answer, term);
      router.authority().writeEnded(router.group());
    } else if (!answer.ok()) {
      readFailed(pool, answer);
    } else if (mayBeStale(pool, answer, sentAt, term)) {
      retryOr(AnswerCode.BUSY, "the answer may be stale; retry later");
    } else {
      pool.markUpToDate();
      readSucceeded();
      finish(answer);
    }
  }

  private void finishWrite(ConnectionPool pool, Answer answer, long term) {
    boolean reportable =
        !answer.ok()
            || router.authority().mayAcknowledgeWrite(router.group(), pool.entry().id(), term);
    if (answer.code() == AnswerCode.LOST) {
      finish(
          timedOut ? AnswerCode.TIMED_OUT : AnswerCode.IN_DOUBT,
          "the database's answer did not arrive; read the item before writing it again");
    } else if (!reportable) {
      finish(
          AnswerCode.IN_DOUBT,
          "the primary is being replaced; read the item before writing it again");
    } else {
      finish(answer);
    }
  }

  private void readFailed(ConnectionPool pool, Answer answer) {
    if (answer.code() != AnswerCode.NO_SUCH_STATEMENT) {
      excluded.add(pool);
    }
    if (answer.code() == AnswerCode.FAILED) {
      failedAt.add(pool);
    }
    if (answer.code() == AnswerCode.LAGGING) {
      router.markLagging(pool, route, lastCommitPosition);
    }
    if (timedOut) {
      finish(AnswerCode.TIMED_OUT, "the statement exceeded the time limit of its route");
    } else {
      AnswerCode code = answer.code() == AnswerCode.LOST ? AnswerCode.FAILED : answer.code();
      retryOr(code, answer.detail());
    }
  }

  /**
   * Returns whether the answer to a read may be older than its route permits. An answer of the
   * primary may be if the database may no longer be the primary of the term or shows a newer one;
   * an answer of a replica if this host was paused, since the required position was determined
   * before the pause.
   */
  private boolean mayBeStale(ConnectionPool pool, Answer answer, ClockReading sentAt, long term) {
    GroupRouter.@Nullable StatementTarget at = target;
    if (at != null && at.primary()) {
      return answer.showsTermAfter(term)
          || !router.authority().leads(router.group(), pool.entry().id(), term);
    }
    return sentAt.pausedSince(context.clocks());
  }

  private void retryOr(AnswerCode code, String detail) {
    boolean mayRepeat = !writes || !sent;
    if (mayRepeat && !timedOut && attempts < MAX_ATTEMPTS) {
      if (route.kind() == RouteKind.PRIMARY || writes) {
        excluded.clear();
      }
      attempt();
    } else {
      finish(code, detail);
    }
  }

  private void release() {
    stopAttemptTimer();
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
    GroupRouter.@Nullable StatementTarget at = target;
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
    done.accept(answer.afterAttempts(mayHaveRun));
  }
}
