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
import org.pollenspar.core.request.PreparedShape;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.Route;

/**
 * A transaction of a caller on one database connection.
 *
 * <p>The connection is acquired with the first statement and held until the transaction ends. A
 * read-only transaction may run on a replica, and opening it is retried at other databases; all
 * other transactions run at the primary. A transaction whose caller sends no statement for too long
 * is rolled back, so that it doesn't occupy its connection.
 *
 * <p>Until a commit is sent, the loss of the connection only aborts the transaction, since the
 * database rolls back when a connection closes. A commit of writes without an answer is in doubt,
 * as is one whose answer arrives after this host has acknowledged the revocation of the primary.
 *
 * <p>A transaction on a replica is aborted if this host was paused since BEGIN: the position that
 * BEGIN required is then too old, and the timer of idle transactions stood still.
 */
final class SessionTransaction implements StatementExecutor.OpenTransaction {
  private static final int MAX_OPEN_ATTEMPTS = 3;

  private final SessionContext context;
  private final Route route;
  private final GroupRouter router;
  private final SessionState sessionState;
  private final boolean readOnly;
  private final @Nullable Position lastCommitPosition;
  private final Set<ConnectionPool> excluded = new HashSet<>();
  private final TransactionPause pause;
  private @Nullable PooledDatabaseConnection connection;
  private boolean atPrimary;
  private long term;
  private long grantedNanos;
  private ClockReading beginSentAt;
  private boolean begun;
  private boolean mayHaveBegun;
  private boolean failed;
  private boolean wrote;
  private boolean abandoned;
  private boolean restoredInTransaction;
  private boolean committed;
  private int openAttempts;
  private @Nullable RunningStatement current;

  SessionTransaction(
      SessionContext context,
      Route route,
      GroupRouter router,
      SessionState sessionState,
      boolean readOnly,
      @Nullable Position lastCommitPosition) {
    this.context = context;
    this.route = route;
    this.router = router;
    this.sessionState = sessionState;
    this.readOnly = readOnly;
    this.lastCommitPosition = lastCommitPosition;
    this.pause = new TransactionPause(context);
    this.beginSentAt = ClockReading.now(context.clocks());
  }

  @Override
  public boolean failed() {
    return failed;
  }

  @Override
  public boolean wrote() {
    return wrote;
  }

  /** Returns whether a statement of the transaction runs. */
  boolean running() {
    return current != null;
  }

  @Override
  public void run(SessionRequest request, Consumer<Answer> done) {
    pause.end();
    RunningStatement statement = new RunningStatement(request, done);
    current = statement;
    statement.start();
  }

  @Override
  public void rollback() {
    failed = true;
    pause.end();
    release();
  }

  @Override
  public void abandon() {
    abandoned = true;
    @Nullable RunningStatement running = current;
    if (running == null) {
      rollback();
    } else if (!running.commitSent()) {
      running.cancel();
    }
  }

  /**
   * Releases the connection, after a rollback if a transaction is open on it. Session values and
   * prepared statements that were restored inside the transaction are certain only after a commit
   * that succeeded: a rollback may undo them, whether this host or the database began it.
   */
  private void release() {
    @Nullable PooledDatabaseConnection used = connection;
    connection = null;
    if (used == null) {
      return;
    }
    if (restoredInTransaction && !committed) {
      used.markStateUncertain();
    }
    if (!begun || used.lost()) {
      used.pool().release(used, grantedNanos);
      return;
    }
    begun = false;
    long since = grantedNanos;
    Timers.Timer guard = context.timers().after(route.statementTimeoutMillis(), used::close);
    used.run(
        new DatabaseCommand.Rollback(),
        answer -> {
          guard.cancel();
          if (answer.ok() && answer.state() == TransactionState.IDLE) {
            used.pool().release(used, since);
          } else {
            used.pool().discard(used);
          }
        });
  }

  /** The statement of the transaction that runs; it requests the connection if none is held. */
  private final class RunningStatement implements ConnectionRequest {
    private final SessionRequest request;
    private final Consumer<Answer> done;
    private final boolean commit;
    private final boolean writes;
    private Timers.@Nullable Timer timeout;
    private @Nullable ConnectionPool waitingAt;
    private @Nullable ConnectionPool pool;
    private @Nullable String refusalReason;
    private boolean sent;
    private boolean timedOut;
    private boolean finished;

    RunningStatement(SessionRequest request, Consumer<Answer> done) {
      this.request = request;
      this.done = done;
      this.commit = request.statement() instanceof SessionStatement.Commit;
      this.writes = sessionState.writes(request.statement());
    }

    boolean commitSent() {
      return commit && sent;
    }

    void start() {
      timeout = context.timers().after(route.statementTimeoutMillis(), this::onTimeout);
      @Nullable PooledDatabaseConnection held = connection;
      if (held == null) {
        open();
      } else if (held.lost()) {
        abort("the connection to the database was lost; the transaction is rolled back");
      } else {
        pool = held.pool();
        forward(held);
      }
    }

    private void open() {
      openAttempts++;
      @Nullable ConnectionPool chosen = choose();
      waitingAt = chosen;
      if (chosen == null) {
        String unavailable = "no database of group " + router.group() + " can run this now";
        failOpen(AnswerCode.BUSY, refusalReason != null ? refusalReason : unavailable);
      } else {
        chosen.acquire(this);
      }
    }

    private @Nullable ConnectionPool choose() {
      GroupRouter.@Nullable StatementTarget target =
          readOnly
              ? router.readTarget(
                  route, sessionState.organisation(), lastCommitPosition, excluded, maxWaitNanos())
              : router.primaryTarget();
      atPrimary = !readOnly || (target != null && target.primary());
      if (target == null) {
        return null;
      }
      if (target.placement() != null) {
        context
            .decisions()
            .placed(route, target.placement().distance(), target.placement().reason());
      }
      return target.pool();
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
      refusalReason = reason;
      retryOpen(code, reason);
    }

    @Override
    public void granted(PooledDatabaseConnection granted) {
      waitingAt = null;
      pool = granted.pool();
      connection = granted;
      grantedNanos = context.clocks().steadyNanos();
      term = router.term();
      granted.restoreSession(
          sessionState,
          sessionState.shapeOf(request.statement()),
          failure -> {
            if (failure != null) {
              discardConnection(granted);
              retryOpen(AnswerCode.BUSY, failure.detail());
            } else {
              begin(granted);
            }
          });
    }

    private void begin(PooledDatabaseConnection heldConnection) {
      @Nullable Position requiredPosition =
          atPrimary ? null : router.requiredPosition(route, lastCommitPosition);
      boolean stillPrimary = router.primary() == heldConnection.pool();
      if (atPrimary ? !stillPrimary : requiredPosition == null) {
        release();
        retryOpen(AnswerCode.BUSY, "the primary of group " + router.group() + " changed");
        return;
      }
      ClockReading sentAt = ClockReading.now(context.clocks());
      beginSentAt = sentAt;
      heldConnection.run(
          new DatabaseCommand.Begin(readOnly, requiredPosition),
          answer -> {
            mayHaveBegun |= !answer.code().nothingRan();
            if (!answer.ok()) {
              beginFailed(heldConnection, answer);
              return;
            }
            begun = true;
            router.observePosition(heldConnection.pool(), answer, sentAt);
            if (abandoned) {
              finish(
                  Answer.error(
                      AnswerCode.ABORTED, "the caller disconnected", TransactionState.IDLE));
            } else {
              forward(heldConnection);
            }
          });
    }

    private void beginFailed(PooledDatabaseConnection heldConnection, Answer answer) {
      if (answer.code() == AnswerCode.LAGGING) {
        router.markLagging(heldConnection.pool(), route, lastCommitPosition);
      }
      router.recordFailedRead(heldConnection.pool(), answer, readOnly && !abandoned);
      if (answer.code() == AnswerCode.LOST) {
        discardConnection(heldConnection);
      } else {
        release();
      }
      retryOpen(
          answer.code() == AnswerCode.LOST ? AnswerCode.BUSY : answer.code(), answer.detail());
    }

    private void discardConnection(PooledDatabaseConnection lost) {
      connection = null;
      lost.pool().discard(lost);
    }

    private void retryOpen(AnswerCode code, String detail) {
      if (pool != null) {
        excluded.add(pool);
      } else if (waitingAt != null) {
        excluded.add(waitingAt);
      }
      pool = null;
      if (readOnly && !timedOut && !abandoned && openAttempts < MAX_OPEN_ATTEMPTS) {
        open();
      } else {
        failOpen(code, detail);
      }
    }

    private void failOpen(AnswerCode code, String detail) {
      failed = true;
      finish(Answer.error(code, detail, commit ? TransactionState.IDLE : TransactionState.FAILED));
    }

    private void forward(PooledDatabaseConnection heldConnection) {
      if (atPrimary
          && !router.authority().leads(router.group(), heldConnection.pool().entry().id(), term)) {
        abort("the primary is being replaced; the transaction is rolled back");
        return;
      }
      @Nullable PreparedShape shape = sessionState.shapeOf(request.statement());
      if (!heldConnection.hasValues(sessionState)
          || (shape != null && heldConnection.preparedName(shape) == null)) {
        restoredInTransaction = true;
      }
      heldConnection.restoreSession(
          sessionState,
          shape,
          failure -> {
            if (failure != null) {
              abort("the session could not be restored on the connection: " + failure.detail());
            } else {
              send(heldConnection, shape);
            }
          });
    }

    private void send(PooledDatabaseConnection heldConnection, @Nullable PreparedShape shape) {
      sent = true;
      wrote |= writes;
      boolean commitsWrites = commit && wrote;
      if (commitsWrites) {
        router.authority().writeStarted(router.group());
      }
      ClockReading sentAt = ClockReading.now(context.clocks());
      @Nullable Position latest = router.latestPosition();
      @Nullable String name = shape == null ? null : heldConnection.preparedName(shape);
      heldConnection.run(
          new DatabaseCommand.Forward(request.id(), request.statement(), name, null),
          answer -> {
            boolean read = readOnly && !abandoned && answer.code() != AnswerCode.FAILED;
            router.observe(heldConnection.pool(), route, answer, sentAt, read);
            completed(
                heldConnection,
                commitsWrites ? GroupRouter.checkedCommit(answer, latest, term) : answer);
            if (commitsWrites) {
              router.authority().writeEnded(router.group());
            }
          });
    }

    private void completed(PooledDatabaseConnection heldConnection, Answer answer) {
      if (commit) {
        completedCommit(heldConnection, answer);
      } else if (answer.code() == AnswerCode.LOST) {
        abort(
            timedOut
                ? "the statement exceeded its time limit; the transaction is rolled back"
                : "the connection to the database was lost; the transaction is rolled back");
      } else if (answer.ok() && mayBeStale(heldConnection, answer)) {
        String cause = atPrimary ? "the primary is being replaced" : "the host was suspended";
        abort(cause + "; the transaction is rolled back");
      } else {
        failed = answer.state() != TransactionState.OPEN;
        if (answer.code() == AnswerCode.NO_SUCH_STATEMENT) {
          heldConnection.markStateUncertain();
        }
        if (failed && answer.state() == TransactionState.IDLE) {
          begun = false;
        }
        finish(answer.withState(failed ? TransactionState.FAILED : TransactionState.OPEN));
      }
    }

    private boolean mayBeStale(PooledDatabaseConnection held, Answer answer) {
      if (!atPrimary) {
        return beginSentAt.pausedSince(context.clocks());
      }
      String database = held.pool().entry().id();
      return answer.showsTermAfter(term)
          || !router.authority().mayAcknowledgeWrite(router.group(), database, term);
    }

    private void completedCommit(PooledDatabaseConnection heldConnection, Answer answer) {
      failed = true;
      begun = answer.state() != TransactionState.IDLE;
      committed = answer.ok() && !begun;
      boolean outcomeUnknown =
          answer.code() == AnswerCode.LOST
              || (answer.ok()
                  && wrote
                  && !router
                      .authority()
                      .mayAcknowledgeWrite(
                          router.group(), heldConnection.pool().entry().id(), term));
      if (!outcomeUnknown) {
        finish(answer.withState(TransactionState.IDLE));
      } else if (wrote) {
        finish(
            Answer.error(
                AnswerCode.IN_DOUBT,
                "the answer to the commit did not arrive in time; read before writing again",
                TransactionState.IDLE));
      } else {
        finish(
            Answer.error(
                AnswerCode.ABORTED,
                "the connection was lost; nothing was written",
                TransactionState.IDLE));
      }
    }

    /** Fails the transaction as rolled back; no commit was sent. */
    private void abort(String reason) {
      failed = true;
      finish(
          Answer.error(
              AnswerCode.ABORTED,
              reason,
              commit ? TransactionState.IDLE : TransactionState.FAILED));
    }

    /** Stops the statement because its caller has disconnected; no commit was sent. */
    void cancel() {
      if (waitingAt != null && waitingAt.withdraw(this)) {
        abort("the caller disconnected");
      } else if (connection != null && sent) {
        connection.close();
      }
    }

    private void onTimeout() {
      if (finished) {
        return;
      }
      timedOut = true;
      if (connection != null) {
        connection.pool().timedOut(connection, route.statementTimeoutMillis());
      } else if (waitingAt != null && waitingAt.withdraw(this)) {
        failOpen(AnswerCode.BUSY, "no connection became free; retry later");
      }
    }

    private void finish(Answer answer) {
      if (finished) {
        return;
      }
      finished = true;
      current = null;
      if (timeout != null) {
        timeout.cancel();
      }
      if (failed || abandoned) {
        release();
      } else {
        pause.begin(
            connection,
            () -> {
              failed = true;
              release();
            });
      }
      context.decisions().answered(request, route, pool, openAttempts, answer);
      done.accept(answer.afterAttempts(mayHaveBegun));
    }
  }
}
