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
 * One caller's session: a state machine without sockets.
 *
 * <p>Statements run one after the other in the order of arrival. Those that only change the session
 * are answered here; reads, writes and commits go to a database through {@link SingleStatement} or
 * {@link SessionTransaction}. A transaction is opened at the database with its first statement, so
 * that a caller who pauses after opening one holds no connection.
 */
public final class CallerSession {
  /** Statements that a caller may send ahead of their answers. */
  public static final int PIPELINE_LIMIT = 64;

  private final SessionContext context;
  private final String database;
  private final CallerConnection port;
  private final SessionState sessionState = new SessionState();
  private final ArrayDeque<SessionRequest> waiting = new ArrayDeque<>();
  private @Nullable SessionRequest current;
  private @Nullable SessionTransaction transaction;
  private @Nullable SingleStatement single;
  private @Nullable Position ownCommit;
  private boolean closed;
  private boolean leaving;
  private boolean advancing;

  /** Creates a session for a database name that has a route. */
  public CallerSession(SessionContext context, String database, CallerConnection port) {
    this.context = context;
    this.database = database;
    this.port = port;
  }

  /** Accepts a statement; returns false if too many are waiting. */
  public boolean receive(SessionRequest request) {
    if (closed) {
      return true;
    }
    if (waiting.size() >= PIPELINE_LIMIT) {
      return false;
    }
    waiting.addLast(request);
    advance();
    return true;
  }

  /** The caller's connection ended. */
  public void callerDisconnected() {
    closed = true;
    waiting.clear();
    if (single != null) {
      single.abandon();
    }
    if (transaction != null) {
      transaction.abandon();
    }
  }

  /** Returns whether nothing is outstanding and no transaction is open. */
  public boolean idle() {
    return current == null && waiting.isEmpty() && transaction == null;
  }

  /** Closes the session as soon as it is idle. */
  public void closeWhenIdle() {
    leaving = true;
    closeIfLeaving();
  }

  /** Ends an open transaction that has no statement under way, because the process stops. */
  public void endTransaction() {
    if (transaction != null && current == null) {
      transaction.abandon();
      transaction = null;
      closed = true;
      port.close();
    }
  }

  private void closeIfLeaving() {
    if (leaving && !closed && idle()) {
      closed = true;
      port.close();
    }
  }

  private void advance() {
    if (advancing) {
      return;
    }
    advancing = true;
    try {
      while (current == null && !closed) {
        @Nullable SessionRequest next = waiting.pollFirst();
        if (next == null) {
          closeIfLeaving();
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
      refuse(request, AnswerCode.MALFORMED, invalid.reason());
    } else if (transaction != null) {
      startInside(request, transaction);
    } else if (statement instanceof SessionStatement.Begin begin) {
      begin(request, begin);
    } else if (statement instanceof SessionStatement.Commit
        || statement instanceof SessionStatement.Rollback) {
      refuse(request, AnswerCode.MALFORMED, "no transaction is open; begin one first");
    } else if (!startLocal(request)) {
      startSingle(request);
    }
  }

  private void startInside(SessionRequest request, SessionTransaction open) {
    SessionStatement statement = request.statement();
    if (statement instanceof SessionStatement.Rollback) {
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
      open.run(request, answer -> finishInside(request, open, answer));
    }
  }

  private void finishInside(SessionRequest request, SessionTransaction open, Answer answer) {
    if (request.statement() instanceof SessionStatement.Commit) {
      transaction = null;
      if (answer.ok() && open.wrote()) {
        noteCommit(answer);
      }
    }
    finish(request, answer);
  }

  private void noteCommit(Answer answer) {
    if (answer.position() != null) {
      ownCommit = ownCommit == null ? answer.position() : ownCommit.max(answer.position());
    }
  }

  private void begin(SessionRequest request, SessionStatement.Begin begin) {
    @Nullable Route route = context.routes().get().route(database);
    @Nullable GroupRouter group = route == null ? null : context.groups().apply(route.group());
    if (route == null || group == null) {
      refuse(request, AnswerCode.UNKNOWN_DATABASE, unknownDatabase());
      return;
    }
    transaction =
        new SessionTransaction(context, route, group, sessionState, begin.readOnly(), ownCommit);
    finish(request, Answer.local(TransactionState.OPEN));
  }

  private String unknownDatabase() {
    return "no route leads to database " + database + "; use a configured name";
  }

  /** Answers statements that only change the session; returns false for all others. */
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
    @Nullable GroupRouter group = route == null ? null : context.groups().apply(route.group());
    if (route == null || group == null) {
      refuse(request, AnswerCode.UNKNOWN_DATABASE, unknownDatabase());
      return;
    }
    SingleStatement run =
        new SingleStatement(
            context,
            route,
            group,
            sessionState,
            request,
            route.kind() == RouteKind.READ_YOUR_WRITES ? ownCommit : null,
            answer -> finishSingle(request, answer));
    single = run;
    run.start();
  }

  private void finishSingle(SessionRequest request, Answer answer) {
    single = null;
    if (answer.ok() && sessionState.writes(request.statement())) {
      noteCommit(answer);
    }
    finish(request, answer);
  }

  private void refuse(SessionRequest request, AnswerCode code, String text) {
    Answer answer = Answer.error(code, text, state());
    context.decisions().answered(request, context.routes().get().route(database), null, 0, answer);
    finish(request, answer);
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
    if (!closed) {
      port.answer(answer);
    }
    advance();
  }
}
