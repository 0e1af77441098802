package org.pollenspar.core.connection;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.Route;

/**
 * A transaction whose first statement needs a grant of its organisation's limit. A refusal fails
 * the transaction, as a refusal to open it at a database does. The caller's key is checked again
 * when the grant has come.
 */
final class QuotaTransaction implements StatementExecutor.OpenTransaction {
  private final QuotaExecutor executor;
  private final SessionContext context;
  private final Route route;
  private final SessionState sessionState;
  private final StatementExecutor.OpenTransaction transaction;
  private boolean granted;
  private boolean refused;
  private @Nullable FirstStatement waiting;

  QuotaTransaction(
      QuotaExecutor executor,
      SessionContext context,
      Route route,
      SessionState sessionState,
      StatementExecutor.OpenTransaction transaction) {
    this.executor = executor;
    this.context = context;
    this.route = route;
    this.sessionState = sessionState;
    this.transaction = transaction;
  }

  @Override
  public boolean failed() {
    return refused || transaction.failed();
  }

  @Override
  public boolean wrote() {
    return transaction.wrote();
  }

  @Override
  public void run(SessionRequest request, Consumer<Answer> done) {
    if (granted) {
      transaction.run(request, done);
    } else {
      new FirstStatement(request, done).ask();
    }
  }

  @Override
  public void rollback() {
    end("the transaction is rolled back");
    transaction.rollback();
  }

  @Override
  public void abandon() {
    end("the caller disconnected");
    transaction.abandon();
  }

  private void end(String reason) {
    if (waiting != null) {
      waiting.end(AnswerCode.ABORTED, reason);
    }
  }

  /** The first statement, while it waits for the grant and runs. */
  private final class FirstStatement implements QuotaClient.Callback {
    private final SessionRequest request;
    private final Consumer<Answer> done;
    private Timers.@Nullable Timer timeout;
    private @Nullable Runnable withdraw;
    private boolean decided;

    FirstStatement(SessionRequest request, Consumer<Answer> done) {
      this.request = request;
      this.done = done;
    }

    void ask() {
      waiting = this;
      timeout =
          context
              .timers()
              .after(
                  route.statementTimeoutMillis(),
                  () ->
                      end(
                          AnswerCode.BUSY,
                          "the rate limit wasn't decided in time; retry in 300 ms"));
      withdraw = executor.ask(context, sessionState, this);
    }

    private void decide() {
      decided = true;
      waiting = null;
      if (timeout != null) {
        timeout.cancel();
      }
    }

    @Override
    public void granted(Runnable giveBack) {
      if (!sessionState.admitted()) {
        giveBack.run();
        end(AnswerCode.DENIED, CallerSession.DENIED);
        return;
      }
      decide();
      granted = true;
      transaction.run(
          request,
          answer -> {
            if (transaction.failed() && answer.nothingRan()) {
              giveBack.run();
            }
            done.accept(answer);
          });
    }

    @Override
    public void refused(long retryAfterMillis) {
      end(AnswerCode.BUSY, QuotaExecutor.refusal(sessionState, retryAfterMillis));
    }

    void end(AnswerCode code, String reason) {
      if (decided) {
        return;
      }
      decide();
      refused = true;
      if (withdraw != null) {
        withdraw.run();
      }
      boolean commit = request.statement() instanceof SessionStatement.Commit;
      TransactionState state = commit ? TransactionState.IDLE : TransactionState.FAILED;
      Answer answer =
          sessionState.admitted()
              ? Answer.error(code, reason, state)
              : Answer.error(AnswerCode.DENIED, CallerSession.DENIED, state);
      context.decisions().answered(request, route, null, 0, answer);
      done.accept(answer);
    }
  }
}
