package org.pollenspar.core.connection;

import java.util.ArrayDeque;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;

/**
 * State machine of one caller's session, independent of the network.
 *
 * <p>Statements run one after the other in order of arrival. Statements that only change the
 * session state are answered without a database. Reads, writes and commits go to a database through
 * {@link StatementExecutor.StatementExecution} or {@link StatementExecutor.OpenTransaction}. A
 * transaction begins at the database only with its first statement, so a caller that pauses after
 * its begin statement occupies no connection.
 *
 * <p>Whether a statement runs over connections of this host or at a home host is decided by the
 * {@link StatementExecutor} of its group.
 *
 * <p>The session remembers its commits ({@link SessionCommits}), so that later reads on a route
 * with {@link RouteKind#READ_YOUR_WRITES} include them. All methods run on one thread.
 */
public final class CallerSession {
  /** Number of statements that may wait behind the one that runs. */
  public static final int PIPELINE_LIMIT = 64;

  /**
   * A caller that has just received an answer may have sent its next statement already, and one
   * that has just connected its first. So a session is closed only after this time without traffic,
   * or together with an answer.
   */
  private static final long QUIET_NANOS = 300_000_000;

  private static final long NANOS_PER_MILLI = 1_000_000;

  static final String DENIED =
      "no organisation holds the key of this session; connect with a key that is configured";

  private final SessionContext context;
  private final String database;
  private final String key;
  private final CallerConnection connection;
  private final SessionState sessionState = new SessionState();
  private final ArrayDeque<SessionRequest> queued = new ArrayDeque<>();
  private @Nullable SessionRequest current;
  private StatementExecutor.@Nullable OpenTransaction transaction;

  /**
   * Route under which the last transaction was opened or the last single statement was started; it
   * may move or be removed while that goes on.
   */
  private @Nullable Route startedRoute;

  private StatementExecutor.@Nullable StatementExecution singleStatement;

  private final SessionCommits commits = new SessionCommits();

  /** Time of the last traffic on the connection, in nanoseconds of the steady clock. */
  private long lastTrafficNanos;

  private boolean partArrived;
  private boolean closed;
  private boolean closing;
  private boolean closeScheduled;
  private boolean refusing;
  private boolean advancing;

  /**
   * Creates a session for a database name that has a route.
   *
   * @param key key of the caller; empty for none
   */
  public CallerSession(
      SessionContext context, String database, String key, CallerConnection connection) {
    this.context = context;
    this.database = database;
    this.key = key;
    this.connection = connection;
    this.lastTrafficNanos = context.clocks().steadyNanos();
    sessionState.admission(this::admitted);
  }

  /** Records that a part of a statement has arrived, whose rest is on its way. */
  public void partArrived() {
    partArrived = true;
    lastTrafficNanos = context.clocks().steadyNanos();
  }

  /** Accepts a statement; returns false if {@link #PIPELINE_LIMIT} statements wait already. */
  public boolean receive(SessionRequest request) {
    if (closed) {
      return true;
    }
    if (queued.size() >= PIPELINE_LIMIT) {
      return false;
    }
    partArrived = false;
    queued.addLast(request);
    advance();
    return true;
  }

  /** Stops the work of the session, because the caller's connection has ended. */
  public void callerDisconnected() {
    closed = true;
    queued.clear();
    if (singleStatement != null) {
      singleStatement.abandon();
    }
    if (transaction != null) {
      transaction.abandon();
    }
  }

  /** Returns the approximate number of bytes that the session's state and key take. */
  public long stateBytes() {
    return key.length() + sessionState.bytes();
  }

  /** Returns whether no statement runs or waits and no transaction is open. */
  public boolean idle() {
    return current == null && queued.isEmpty() && transaction == null;
  }

  /** Closes the session with its next answer, or once it is idle and nothing has arrived lately. */
  public void closeWhenIdle() {
    closing = true;
    closeIfRequested();
  }

  /**
   * Refuses all statements that have not started as not run, because the process stops. Closes the
   * session as {@link #closeWhenIdle} does, and rolls back its transaction.
   */
  public void refuseNewWork() {
    refusing = true;
    closing = true;
    closeIfRequested();
  }

  private void closeIfRequested() {
    if (refusing && current == null && queued.isEmpty() && transaction != null) {
      transaction.abandon();
      transaction = null;
    }
    if (!closing || closed || !idle()) {
      return;
    }
    long quiet = context.clocks().steadyNanos() - lastTrafficNanos;
    if (quiet >= QUIET_NANOS) {
      close();
    } else if (!closeScheduled) {
      closeScheduled = true;
      context
          .timers()
          .after(
              (QUIET_NANOS - quiet) / NANOS_PER_MILLI + 1,
              () -> {
                closeScheduled = false;
                closeIfRequested();
              });
    }
  }

  /** Closes with the answer that was sent just now, so that the caller learns of both at once. */
  private void closeAfterAnswer() {
    if (partArrived) {
      closeIfRequested();
    } else if (!closed && idle()) {
      close();
    }
  }

  private void close() {
    closed = true;
    connection.close();
  }

  private void advance() {
    if (advancing) {
      return;
    }
    advancing = true;
    try {
      while (current == null && !closed) {
        @Nullable SessionRequest next = queued.pollFirst();
        if (next == null) {
          if (closing) {
            // Deferred, since a statement that arrived with this one may not have been received
            // yet.
            context.timers().after(0, this::closeAfterAnswer);
          }
          return;
        }
        current = next;
        start(next);
      }
    } finally {
      advancing = false;
    }
  }

  private void start(SessionRequest request) {
    SessionStatement statement = request.statement();
    if (statement instanceof SessionStatement.Invalid invalid) {
      if (transaction != null && !transaction.failed()) {
        // A caller that doesn't wait for answers may have sent the commit already.
        transaction.rollback();
      }
      refuse(request, AnswerCode.MALFORMED, invalid.reason());
    } else if (refusing && !(statement instanceof SessionStatement.Rollback)) {
      refuseUnstarted(request);
    } else if (transaction != null) {
      startInTransaction(request, transaction);
    } else if (statement instanceof SessionStatement.Begin begin) {
      begin(request, begin);
    } else if (statement instanceof SessionStatement.Commit
        || statement instanceof SessionStatement.Rollback) {
      refuse(request, AnswerCode.MALFORMED, "no transaction is open; begin one first");
    } else if (!startLocal(request)) {
      startSingle(request);
    }
  }

  /**
   * Returns the organisation for which statements on a route run now; null if the caller is denied.
   */
  private @Nullable String organisation(Route route) {
    return context.routes().get().organisation(route, key);
  }

  /** Applies a new version of the configuration, which may have taken the caller's key away. */
  public void configurationChanged() {
    StatementExecutor.@Nullable OpenTransaction open = transaction;
    if (open != null && current == null && !open.failed() && !admitted()) {
      open.rollback();
    }
  }

  /**
   * Returns whether the open transaction or the statement still runs for the organisation that
   * holds the key. If its route was removed, the route under which it was started says whether it
   * needs a key.
   */
  private boolean admitted() {
    @Nullable Route present = context.routes().get().route(database);
    @Nullable Route route = present != null ? present : startedRoute;
    return route == null || sessionState.organisation().equals(organisation(route));
  }

  private void startInTransaction(SessionRequest request, StatementExecutor.OpenTransaction open) {
    SessionStatement statement = request.statement();
    if (!admitted() && !(statement instanceof SessionStatement.Rollback)) {
      open.rollback();
      transaction = null;
      refuse(request, AnswerCode.DENIED, DENIED);
    } else if (statement instanceof SessionStatement.Rollback) {
      open.rollback();
      transaction = null;
      finish(request, Answer.local(TransactionState.IDLE));
    } else if (statement instanceof SessionStatement.Commit && open.failed()) {
      open.rollback();
      transaction = null;
      finish(
          request,
          Answer.error(
              AnswerCode.ABORTED,
              "the transaction had failed and is rolled back",
              TransactionState.IDLE));
    } else if (open.failed()) {
      refuse(request, AnswerCode.MALFORMED, "the transaction failed; end it first");
    } else if (statement instanceof SessionStatement.Begin) {
      refuse(request, AnswerCode.MALFORMED, "a transaction is open already");
    } else if (!startLocal(request)) {
      open.run(request, answer -> finishInTransaction(request, open, answer));
    }
  }

  private void finishInTransaction(
      SessionRequest request, StatementExecutor.OpenTransaction open, Answer answer) {
    if (request.statement() instanceof SessionStatement.Commit) {
      transaction = null;
      @Nullable Route opened = startedRoute;
      if (answer.ok() && open.wrote() && opened != null) {
        commits.committed(opened.group(), answer.position());
      }
    }
    finish(request, answer);
  }

  private void begin(SessionRequest request, SessionStatement.Begin begin) {
    @Nullable Route route = context.routes().get().route(database);
    @Nullable StatementExecutor executor =
        route == null ? null : context.executors().apply(route.group());
    if (route == null || executor == null) {
      refuse(request, AnswerCode.UNKNOWN_DATABASE, unknownDatabase());
      return;
    }
    @Nullable String organisation = organisation(route);
    if (organisation == null) {
      refuse(request, AnswerCode.DENIED, DENIED);
      return;
    }
    sessionState.organisation(organisation);
    startedRoute = route;
    transaction =
        executor.transaction(
            context,
            commits.routeFor(route),
            sessionState,
            begin.readOnly(),
            commits.last(route.group()));
    finish(request, Answer.local(TransactionState.OPEN));
  }

  private String unknownDatabase() {
    return unknownDatabase(database);
  }

  /** Returns the text of a refusal because nothing serves a database name. */
  public static String unknownDatabase(String database) {
    return "no route for database " + database + "; use a configured database name";
  }

  /** Answers a statement that only changes the session state; returns false for all others. */
  private boolean startLocal(SessionRequest request) {
    SessionStatement statement = request.statement();
    if (statement instanceof SessionStatement.SetValue set) {
      sessionState.set(set.name(), set.value());
    } else if (statement instanceof SessionStatement.Prepare prepare) {
      sessionState.prepare(prepare.name(), prepare.shape());
    } else if (statement instanceof SessionStatement.Close close) {
      if (!sessionState.close(close.name())) {
        refuse(request, AnswerCode.NO_SUCH_STATEMENT, "no prepared statement " + close.name());
        return true;
      }
    } else if (statement instanceof SessionStatement.Execute execute
        && sessionState.prepared(execute.name()) == null) {
      refuse(request, AnswerCode.NO_SUCH_STATEMENT, "no prepared statement " + execute.name());
      return true;
    } else {
      return false;
    }
    finish(request, Answer.local(state()));
    return true;
  }

  private void startSingle(SessionRequest request) {
    @Nullable Route route = context.routes().get().route(database);
    @Nullable StatementExecutor executor =
        route == null ? null : context.executors().apply(route.group());
    if (route == null || executor == null) {
      refuse(request, AnswerCode.UNKNOWN_DATABASE, unknownDatabase());
      return;
    }
    @Nullable String organisation = organisation(route);
    if (organisation == null) {
      refuse(request, AnswerCode.DENIED, DENIED);
      return;
    }
    sessionState.organisation(organisation);
    startedRoute = route;
    Route used = commits.routeFor(route);
    StatementExecutor.StatementExecution run =
        executor.statement(
            context,
            used,
            sessionState,
            request,
            used.kind() == RouteKind.READ_YOUR_WRITES ? commits.last(used.group()) : null,
            answer -> finishSingle(request, used, answer));
    singleStatement = run;
    run.start();
  }

  private void finishSingle(SessionRequest request, Route used, Answer answer) {
    singleStatement = null;
    if (answer.ok() && sessionState.writes(request.statement())) {
      commits.committed(used.group(), answer.position());
    } else if (answer.ok()) {
      commits.read(used, answer.position());
    }
    finish(request, answer);
  }

  private void refuse(SessionRequest request, AnswerCode code, String text) {
    Answer answer = Answer.error(code, text, state());
    context.decisions().answered(request, context.routes().get().route(database), null, 0, answer);
    finish(request, answer);
  }

  private void refuseUnstarted(SessionRequest request) {
    AnswerCode code = AnswerCode.BUSY;
    if (transaction != null) {
      code = AnswerCode.ABORTED;
      transaction.rollback();
      transaction = null;
    }
    refuse(request, code, "this host is stopping; connect again to reach another host");
  }

  private TransactionState state() {
    if (transaction == null) {
      return TransactionState.IDLE;
    }
    return transaction.failed() ? TransactionState.FAILED : TransactionState.OPEN;
  }

  private void finish(SessionRequest request, Answer answer) {
    if (current != request) {
      return;
    }
    current = null;
    lastTrafficNanos = context.clocks().steadyNanos();
    if (!closed) {
      connection.answer(answer);
    }
    advance();
  }
}
