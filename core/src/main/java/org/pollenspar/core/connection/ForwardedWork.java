package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;

/**
 * Runs, on a home host, the statements that one other host forwards over one connection.
 *
 * <p>A transaction is kept until its commit is answered or the other host ends it, also after it
 * has failed, so that none of its later statements is taken for the first of a new one. When the
 * connection ends, its transactions are rolled back and what waits is withdrawn; statements that
 * run go on.
 *
 * <p>Statements are counted by {@link CallerBackpressure} until their outcome is known. One that
 * would exceed the part of forwarded statements is refused before it starts, so nothing ran. Those
 * of a transaction that holds a connection go on, since each transaction has one at a time.
 *
 * <p>All methods run on one thread.
 */
public final class ForwardedWork {
  /** Counted for each statement besides its message. */
  private static final int STATEMENT_BYTES = 256;

  private final SessionContext context;
  private final Function<String, @Nullable GroupRouter> routers;
  private final BooleanSupplier accepting;
  private final Consumer<ForwardedWork> onClosed;
  private final CallerBackpressure backpressure;
  private final Map<Long, StatementExecutor.StatementExecution> statements = new HashMap<>();
  private final Map<Long, HomeTransaction> transactions = new HashMap<>();
  private boolean refusing;

  /** A transaction with the session state of its caller, which each statement brings along. */
  private record HomeTransaction(SessionTransaction transaction, SessionState sessionState) {}

  /**
   * Creates the work of a new connection.
   *
   * @param context runs statements; its decisions are those of forwarded statements
   * @param routers router of a group by name; null if the group is unknown
   * @param accepting whether this host takes forwarded work now
   * @param onClosed receives this work when the connection has ended
   * @param backpressure counts the bytes of the statements
   */
  public ForwardedWork(
      SessionContext context,
      Function<String, @Nullable GroupRouter> routers,
      BooleanSupplier accepting,
      Consumer<ForwardedWork> onClosed,
      CallerBackpressure backpressure) {
    this.context = context;
    this.routers = routers;
    this.accepting = accepting;
    this.onClosed = onClosed;
    this.backpressure = backpressure;
  }

  /** Returns an account of answers that the other host has not received. */
  public CallerBackpressure.HeldBytes unsentAnswers(Runnable close) {
    return backpressure.holder(close);
  }

  /**
   * Runs a statement.
   *
   * @param id id of the statement on the connection
   * @param bytes size of the message
   * @param done receives the outcome, exactly once, now or later
   */
  public void run(long id, ForwardedRequest request, int bytes, Consumer<ForwardOutcome> done) {
    ForwardedRequest.@Nullable Transaction transaction = request.transaction();
    long counted = (long) bytes + STATEMENT_BYTES;
    if ((transaction == null || transaction.opens()) && !backpressure.admitsForwarded(counted)) {
      done.accept(new ForwardOutcome(ForwardOutcome.Kind.ANSWERED, full(request)));
      return;
    }
    backpressure.forwarded(counted);
    run(
        id,
        request,
        outcome -> {
          backpressure.forwarded(-counted);
          done.accept(outcome);
        });
  }

  private static Answer full(ForwardedRequest request) {
    boolean failsTransaction =
        request.transaction() != null && !(request.statement() instanceof SessionStatement.Commit);
    return Answer.error(
        AnswerCode.BUSY,
        "the home host holds as many bytes of statements as it may; retry in 300 ms",
        failsTransaction ? TransactionState.FAILED : TransactionState.IDLE);
  }

  private void run(long id, ForwardedRequest request, Consumer<ForwardOutcome> done) {
    ForwardedRequest.@Nullable Transaction transaction = request.transaction();
    if (transaction != null && !transaction.opens()) {
      runInTransaction(request, transaction, done);
      return;
    }
    @Nullable GroupRouter router = routers.apply(request.route().group());
    if (router == null || !accepting.getAsBoolean()) {
      done.accept(
          ForwardOutcome.unanswered(
              ForwardOutcome.Kind.DECLINED, "the home host takes no work now; retry in 300 ms"));
    } else if (transaction == null) {
      runSingle(id, router, request, done);
    } else {
      open(router, request, transaction, done);
    }
  }

  private void runSingle(
      long id, GroupRouter router, ForwardedRequest request, Consumer<ForwardOutcome> done) {
    SessionState sessionState = new SessionState();
    request.applyTo(sessionState);
    StatementExecutor.StatementExecution execution =
        new SingleStatement(
            context,
            request.route(),
            router,
            sessionState,
            request.asRequest(context.clocks().steadyNanos()),
            request.lastCommit(),
            answer -> {
              statements.remove(id);
              done.accept(outcome(router, answer));
            });
    statements.put(id, execution);
    execution.start();
  }

  private void open(
      GroupRouter router,
      ForwardedRequest request,
      ForwardedRequest.Transaction opened,
      Consumer<ForwardOutcome> done) {
    SessionState sessionState = new SessionState();
    HomeTransaction transaction =
        new HomeTransaction(
            new SessionTransaction(
                context,
                request.route(),
                router,
                sessionState,
                opened.readOnly(),
                request.lastCommit()),
            sessionState);
    transactions.put(opened.id(), transaction);
    run(
        request,
        opened,
        transaction,
        answer -> {
          ForwardOutcome outcome = outcome(router, answer);
          if (outcome.kind().nothingRan()) {
            transactions.remove(opened.id());
          }
          done.accept(outcome);
        });
  }

  private void runInTransaction(
      ForwardedRequest request,
      ForwardedRequest.Transaction transaction,
      Consumer<ForwardOutcome> done) {
    Consumer<Answer> answered =
        answer -> done.accept(new ForwardOutcome(ForwardOutcome.Kind.ANSWERED, answer));
    boolean commit = request.statement() instanceof SessionStatement.Commit;
    @Nullable HomeTransaction open = transactions.get(transaction.id());
    if (open != null && !open.transaction().failed() && !refusing) {
      run(request, transaction, open, answered);
      return;
    }
    if (open != null) {
      open.transaction().rollback();
    }
    if (commit) {
      transactions.remove(transaction.id());
    }
    answered.accept(
        Answer.error(
            AnswerCode.ABORTED,
            "the transaction was rolled back at the home host",
            commit ? TransactionState.IDLE : TransactionState.FAILED));
  }

  private void run(
      ForwardedRequest request,
      ForwardedRequest.Transaction transaction,
      HomeTransaction open,
      Consumer<Answer> done) {
    request.applyTo(open.sessionState());
    open.transaction()
        .run(
            request.asRequest(context.clocks().steadyNanos()),
            answer -> {
              if (request.statement() instanceof SessionStatement.Commit) {
                transactions.remove(transaction.id());
              }
              done.accept(answer);
            });
  }

  /**
   * Returns the outcome of a statement that used no transaction before. A refusal by a host that
   * can't reach the primary isn't final, since another home may reach it.
   */
  private static ForwardOutcome outcome(GroupRouter router, Answer answer) {
    @Nullable ConnectionPool primary = router.primary();
    boolean unreachable = answer.code() == AnswerCode.BUSY && primary != null && !primary.usable();
    return new ForwardOutcome(
        unreachable ? ForwardOutcome.Kind.UNREACHABLE : ForwardOutcome.Kind.ANSWERED, answer);
  }

  /** Ends a statement or transaction, as {@link HomeChannel#end} says. */
  public void end(long id) {
    StatementExecutor.@Nullable StatementExecution statement = statements.get(id);
    if (statement != null) {
      statement.abandon();
    }
    @Nullable HomeTransaction transaction = transactions.remove(id);
    if (transaction != null) {
      transaction.transaction().abandon();
    }
  }

  /** Ends everything, because the connection has ended. */
  public void close() {
    List.copyOf(statements.keySet()).forEach(this::end);
    List.copyOf(transactions.keySet()).forEach(this::end);
    onClosed.accept(this);
  }

  /** Rolls back transactions that wait for their caller's next statement. */
  private void endIdleTransactions() {
    for (HomeTransaction each : transactions.values()) {
      if (!each.transaction().running()) {
        each.transaction().rollback();
      }
    }
  }

  /**
   * Refuses all statements that have not started, because the process stops. Transactions are
   * rolled back now or with their next statement.
   */
  public void refuseNewWork() {
    refusing = true;
    endIdleTransactions();
  }

  /** Returns whether no statement runs and no transaction is open. */
  public boolean idle() {
    return statements.isEmpty()
        && transactions.values().stream().allMatch(each -> each.transaction().failed());
  }
}
