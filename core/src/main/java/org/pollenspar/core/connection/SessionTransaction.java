package org.pollenspar.core.connection;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
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
 * <p>The connection is borrowed with the first statement and kept to the end. Until a commit is
 * sent, losing the connection only loses the transaction, since a closed connection rolls back; a
 * commit without an answer is in doubt.
 */
final class SessionTransaction {
  private static final int OPEN_ATTEMPTS = 3;

  private final SessionContext context;
  private final Route route;
  private final GroupRouter group;
  private final SessionState sessionState;
  private final boolean readOnly;
  private final @Nullable Position own;
  private final Set<ConnectionPool> avoid = new HashSet<>();
  private @Nullable PooledDatabaseConnection connection;
  private boolean atPrimary;
  private long term;
  private long grantedNanos;
  private boolean begun;
  private boolean failed;
  private boolean wrote;
  private boolean abandoned;
  private boolean corrected;
  private int openAttempts;
  private @Nullable Statement current;
  private Timers.@Nullable Timer idleTimer;

  SessionTransaction(
      SessionContext context,
      Route route,
      GroupRouter group,
      SessionState sessionState,
      boolean readOnly,
      @Nullable Position own) {
    this.context = context;
    this.route = route;
    this.group = group;
    this.sessionState = sessionState;
    this.readOnly = readOnly;
    this.own = own;
  }

  boolean failed() {
    return failed;
  }

  boolean wrote() {
    return wrote;
  }

  void run(SessionRequest request, Consumer<Answer> done) {
    stopIdleTimer();
    Statement statement = new Statement(request, done);
    current = statement;
    statement.start();
  }

  /** Rolls back; the caller doesn't wait for it. */
  void rollback() {
    failed = true;
    stopIdleTimer();
    release();
  }

  private void stopIdleTimer() {
    if (idleTimer != null) {
      idleTimer.cancel();
      idleTimer = null;
    }
  }

  /** The caller left. A commit that was sent runs to its end. */
  void abandon() {
    abandoned = true;
    @Nullable Statement running = current;
    if (running == null) {
      rollback();
    } else if (!running.commitSent()) {
      running.cancel();
    }
  }

  /** Returns the connection, rolled back if a transaction is open on it. */
  private void release() {
    @Nullable PooledDatabaseConnection used = connection;
    connection = null;
    if (used == null) {
      return;
    }
    if (!begun || used.lost()) {
      used.pool().release(used, grantedNanos);
      return;
    }
    begun = false;
    if (corrected) {
      used.stateUncertain();
    }
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

  private void watchIdle() {
    idleTimer =
        context
            .timers()
            .after(
                context.routes().get().transactionIdleMillis(),
                () -> {
                  idleTimer = null;
                  failed = true;
                  release();
                });
  }

  /** One statement of the transaction. */
  private final class Statement implements ConnectionRequest {
    private final SessionRequest request;
    private final Consumer<Answer> done;
    private final boolean commit;
    private final boolean writes;
    private Timers.@Nullable Timer timeout;
    private @Nullable ConnectionPool waitingAt;
    private @Nullable ConnectionPool pool;
    private @Nullable String refusal;
    private boolean sent;
    private boolean timedOut;
    private boolean finished;

    Statement(SessionRequest request, Consumer<Answer> done) {
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
        String nowhere = "no database of group " + group.group() + " can run this now";
        failOpen(AnswerCode.BUSY, refusal != null ? refusal : nowhere);
      } else {
        chosen.acquire(this);
      }
    }

    private @Nullable ConnectionPool choose() {
      if (!readOnly) {
        atPrimary = true;
        return group.primary();
      }
      GroupRouter.@Nullable ReadTarget target = group.readTarget(route, own, avoid);
      atPrimary = target != null && target.primary();
      return target == null ? null : target.pool();
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
      refusal = reason;
      retryOpen(code, reason);
    }

    @Override
    public void granted(PooledDatabaseConnection granted) {
      waitingAt = null;
      pool = granted.pool();
      connection = granted;
      grantedNanos = context.clocks().steadyNanos();
      term = group.term();
      granted.prepare(
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

    private void begin(PooledDatabaseConnection on) {
      @Nullable Position after = atPrimary ? null : group.needed(route, own);
      boolean stillPrimary = group.primary() == on.pool();
      if (atPrimary ? !stillPrimary : after == null) {
        release();
        retryOpen(AnswerCode.BUSY, "the primary of group " + group.group() + " changed");
        return;
      }
      long sentNanos = context.clocks().steadyNanos();
      on.run(
          new DatabaseCommand.Begin(readOnly, after),
          answer -> {
            if (!answer.ok()) {
              beginFailed(on, answer);
              return;
            }
            begun = true;
            group.observePosition(on.pool(), answer, sentNanos);
            if (abandoned) {
              finish(Answer.error(AnswerCode.ABORTED, "the caller left", TransactionState.IDLE));
            } else {
              forward(on);
            }
          });
    }

    private void beginFailed(PooledDatabaseConnection on, Answer answer) {
      if (answer.code() == AnswerCode.LAGGING) {
        on.pool().markLagging();
      }
      if (answer.code() == AnswerCode.LOST) {
        discardConnection(on);
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
        avoid.add(pool);
      } else if (waitingAt != null) {
        avoid.add(waitingAt);
      }
      pool = null;
      if (readOnly && !timedOut && !abandoned && openAttempts < OPEN_ATTEMPTS) {
        open();
      } else {
        failOpen(code, detail);
      }
    }

    private void failOpen(AnswerCode code, String detail) {
      failed = true;
      finish(Answer.error(code, detail, commit ? TransactionState.IDLE : TransactionState.FAILED));
    }

    private void forward(PooledDatabaseConnection on) {
      if (atPrimary && !group.authority().leads(group.group(), on.pool().entry().id(), term)) {
        abort("the primary is being replaced; the transaction is rolled back");
        return;
      }
      @Nullable PreparedShape shape = sessionState.shapeOf(request.statement());
      if (!on.hasValues(sessionState) || (shape != null && on.preparedName(shape) == null)) {
        corrected = true;
      }
      on.prepare(
          sessionState,
          shape,
          failure -> {
            if (failure != null) {
              abort("the session could not be restored on the connection: " + failure.detail());
            } else {
              send(on, shape);
            }
          });
    }

    private void send(PooledDatabaseConnection on, @Nullable PreparedShape shape) {
      sent = true;
      wrote |= writes;
      boolean risky = commit && wrote;
      if (risky) {
        group.authority().writeStarted(group.group());
      }
      long sentNanos = context.clocks().steadyNanos();
      @Nullable String name = shape == null ? null : on.preparedName(shape);
      on.run(
          new DatabaseCommand.Forward(request.id(), request.statement(), name, null),
          answer -> {
            if (answer.code() != AnswerCode.LOST) {
              group.observe(on.pool(), route.priority(), answer, sentNanos);
            }
            completed(on, answer);
            if (risky) {
              group.authority().writeEnded(group.group());
            }
          });
    }

    private void completed(PooledDatabaseConnection on, Answer answer) {
      if (commit) {
        completedCommit(on, answer);
      } else if (answer.code() == AnswerCode.LOST) {
        abort(
            timedOut
                ? "the statement exceeded its time limit; the transaction is rolled back"
                : "the connection to the database was lost; the transaction is rolled back");
      } else if (answer.ok() && readDoubtful(on)) {
        abort("the primary is being replaced; the transaction is rolled back");
      } else {
        failed = answer.state() != TransactionState.OPEN;
        if (failed && answer.state() == TransactionState.IDLE) {
          begun = false;
        }
        finish(withState(answer));
      }
    }

    private boolean readDoubtful(PooledDatabaseConnection on) {
      return atPrimary
          && !group.authority().mayAcknowledgeWrite(group.group(), on.pool().entry().id(), term);
    }

    private Answer withState(Answer answer) {
      TransactionState state = failed ? TransactionState.FAILED : TransactionState.OPEN;
      return new Answer(answer.code(), answer.rows(), answer.detail(), state, answer.position());
    }

    private void completedCommit(PooledDatabaseConnection on, Answer answer) {
      failed = true;
      begun = answer.state() != TransactionState.IDLE;
      boolean doubtful =
          answer.code() == AnswerCode.LOST
              || (answer.ok()
                  && wrote
                  && !group
                      .authority()
                      .mayAcknowledgeWrite(group.group(), on.pool().entry().id(), term));
      if (!doubtful) {
        finish(
            new Answer(
                answer.code(),
                answer.rows(),
                answer.detail(),
                TransactionState.IDLE,
                answer.position()));
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

    /** Ends the transaction without a commit having been sent. */
    private void abort(String reason) {
      failed = true;
      finish(
          Answer.error(
              AnswerCode.ABORTED,
              reason,
              commit ? TransactionState.IDLE : TransactionState.FAILED));
    }

    /** Stops the statement because its caller left; no commit was sent. */
    void cancel() {
      if (waitingAt != null && waitingAt.withdraw(this)) {
        abort("the caller left");
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
        watchIdle();
      }
      context.decisions().answered(request, route, pool, openAttempts, answer);
      done.accept(answer);
    }
  }
}
