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
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.Route;

/**
 * A transaction of a caller at a home host.
 *
 * <p>The home is chosen with the first statement; all later ones go to it over the same connection.
 * When that connection ends, the home rolls back all transactions that came over it, so a
 * transaction whose commit was not sent is aborted. If the commit was sent and writes are at stake,
 * its outcome is in doubt.
 */
final class ForwardedTransaction implements StatementExecutor.OpenTransaction {
  private final ForwardingExecutor executor;
  private final SessionContext context;
  private final Route route;
  private final SessionState sessionState;
  private final boolean readOnly;
  private final @Nullable Position lastCommit;
  private final Set<Member> tried = new HashSet<>();
  private @Nullable Member home;
  private @Nullable HomeChannel channel;
  private long id;
  private boolean opened;
  private boolean failed;
  private boolean mayHaveBegun;
  private boolean wrote;
  private @Nullable RunningStatement current;

  ForwardedTransaction(
      ForwardingExecutor executor,
      SessionContext context,
      Route route,
      SessionState sessionState,
      boolean readOnly,
      @Nullable Position lastCommit) {
    this.executor = executor;
    this.context = context;
    this.route = route;
    this.sessionState = sessionState;
    this.readOnly = readOnly;
    this.lastCommit = lastCommit;
  }

  @Override
  public boolean failed() {
    return failed;
  }

  @Override
  public boolean wrote() {
    return wrote;
  }

  @Override
  public void run(SessionRequest request, Consumer<Answer> done) {
    RunningStatement statement = new RunningStatement(request, done);
    current = statement;
    statement.start();
  }

  @Override
  public void rollback() {
    failed = true;
    endAtHome();
  }

  @Override
  public void abandon() {
    @Nullable RunningStatement running = current;
    if (running == null || !running.commit) {
      rollback();
    }
  }

  private void endAtHome() {
    @Nullable HomeChannel used = channel;
    if (used != null && used.usable()) {
      used.end(id);
    }
  }

  /** The statement of the transaction that runs. */
  private final class RunningStatement {
    private final SessionRequest request;
    private final Consumer<Answer> done;
    private final boolean commit;
    private Timers.@Nullable Timer timeout;
    private boolean finished;

    RunningStatement(SessionRequest request, Consumer<Answer> done) {
      this.request = request;
      this.done = done;
      this.commit = request.statement() instanceof SessionStatement.Commit;
    }

    void start() {
      long limit = route.statementTimeoutMillis() + ForwardingExecutor.ANSWER_MARGIN_MS;
      timeout = context.timers().after(limit, this::onTimeout);
      @Nullable HomeChannel used = channel;
      if (!opened) {
        open();
      } else if (used == null || !used.usable()) {
        abort("the connection to the home host was lost; the transaction is rolled back");
      } else {
        forward(used, false);
      }
    }

    private void open() {
      @Nullable Member next = executor.next(route.group(), sessionState.organisation(), tried);
      if (next == null) {
        fail(AnswerCode.BUSY, ForwardingExecutor.noHome(route.group()));
        return;
      }
      tried.add(next);
      home = next;
      HomeChannel used = executor.channels().channel(next);
      channel = used;
      id = used.nextTransaction();
      forward(used, true);
    }

    private void forward(HomeChannel used, boolean opens) {
      wrote |= sessionState.writes(request.statement());
      used.forward(
          ForwardedRequest.of(
              route,
              sessionState,
              request,
              lastCommit,
              new ForwardedRequest.Transaction(id, opens, readOnly),
              context.clocks().steadyNanos()),
          this::completed);
    }

    private void completed(ForwardOutcome outcome) {
      if (finished) {
        return;
      }
      if (home != null) {
        executor.homes().record(route.group(), home, outcome.kind());
      }
      mayHaveBegun |= outcome.mayHaveRun();
      if (outcome.kind() == ForwardOutcome.Kind.ANSWERED) {
        opened = true;
        failed = commit || outcome.answer().state() != TransactionState.OPEN;
        finish(outcome.answer());
      } else if (outcome.kind().nothingRan() && !opened && !failed) {
        open();
      } else {
        lost();
      }
    }

    private void lost() {
      if (commit && wrote) {
        fail(
            AnswerCode.IN_DOUBT,
            "the answer to the commit did not arrive; read before writing again");
      } else {
        abort("the answer of the home host was lost; the transaction is rolled back");
      }
    }

    private void onTimeout() {
      if (finished) {
        return;
      }
      if (home != null) {
        executor.homes().record(route.group(), home, ForwardOutcome.Kind.LOST);
      }
      if (!commit) {
        endAtHome();
      }
      lost();
    }

    /** Fails the transaction as rolled back. */
    private void abort(String reason) {
      fail(AnswerCode.ABORTED, reason);
    }

    private void fail(AnswerCode code, String reason) {
      failed = true;
      finish(Answer.error(code, reason, commit ? TransactionState.IDLE : TransactionState.FAILED));
    }

    private void finish(Answer answer) {
      finished = true;
      current = null;
      if (timeout != null) {
        timeout.cancel();
      }
      context.decisions().forwarded(request, route, home, tried.size(), answer);
      done.accept(answer.afterAttempts(mayHaveBegun));
    }
  }
}
