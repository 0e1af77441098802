package org.pollenspar.proxy.connection;

import java.time.Duration;
import java.util.Optional;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.ReadRequirement;
import org.pollenspar.core.request.ReadRouter;
import org.pollenspar.core.request.WorkRequest;

/**
 * Runs reads: one round trip, then a check of the database state that came with the answer.
 *
 * <p>The router chooses a database from earlier probe answers, which may be out of date. So the
 * caller gets the answer only if the state in that very answer satisfies the read; otherwise the
 * read is routed again. Failures are retried within the retry budget. Driven by the control thread.
 */
final class ReadExecutor {
  private final ExecutionState execution;
  private final ReadStep step;
  private final Rerouter rerouter;

  /** Routes a read to a database again. */
  @FunctionalInterface
  interface Rerouter {
    void route(PendingRequest pending);
  }

  ReadExecutor(ExecutionState execution, ReadStep step, Rerouter rerouter) {
    this.execution = execution;
    this.step = step;
    this.rerouter = rerouter;
  }

  /** Sends a read on the connection that was acquired for it. */
  void start(PendingRequest pending, PendingRequest.HeldConnection held) {
    execution.start(pending, held);
    WorkRequest request = pending.request();
    String databaseId = held.pool().address().databaseId();
    Duration timeout = Duration.ofNanos(request.remainingNanos(execution.now()));
    held.connection()
        .run(
            connection -> step.run(connection, databaseId, request.statements(), timeout),
            e -> new ReadAnswer.Failed(AnswerChecker.databaseFailed(databaseId, e)),
            answer -> answered(pending, held, answer));
  }

  private void answered(
      PendingRequest pending, PendingRequest.HeldConnection held, ReadAnswer answer) {
    if (pending.answered() || !pending.holds(held)) {
      return;
    }
    if (held.connection().clean()) {
      held.pool().recordAnswer(execution.now() - held.acquiredNanos());
    } else {
      held.pool().recordFailure();
    }
    execution.releaseConnection(pending);
    if (answer instanceof ReadAnswer.Answered complete) {
      checkFreshness(pending, held, complete);
    } else if (answer instanceof ReadAnswer.Refused refused) {
      execution.refuse(pending, refused.error(), 0);
    } else if (answer instanceof ReadAnswer.Failed failed) {
      retry(pending, failed.error());
    }
  }

  private void checkFreshness(
      PendingRequest pending, PendingRequest.HeldConnection held, ReadAnswer.Answered complete) {
    DatabaseState state = complete.state();
    execution.databases().observed(state, held.acquiredNanos(), execution.now());
    ReadRequirement requirement = pending.requirement();
    ReadRouter router = execution.context().policy().router(pending.request());
    boolean rightDatabase = state.databaseId().equals(held.pool().address().databaseId());
    if (!rightDatabase || !router.acceptable(requirement, state, execution.databases().tracker())) {
      execution.context().metrics().routedAgain();
      reroute(pending);
      return;
    }
    if (!execution
        .context()
        .invariants()
        .check(
            Invariant.READ_YOUR_WRITES,
            state.position().includes(requirement.position()),
            () ->
                state.position()
                    + " does not include session position "
                    + requirement.position())) {
      PollensparError error =
          PollensparError.of(
              ErrorKind.INVARIANT_VIOLATED,
              Invariant.READ_YOUR_WRITES.promise(),
              Invariant.READ_YOUR_WRITES.description());
      execution.refuse(pending, error, execution.retryAfterMillis());
      return;
    }
    DatabaseRole role = state.role();
    execution.context().metrics().readServed(role);
    execution.finish(
        pending, new Outcome.Done(complete.tables(), Optional.empty(), state.databaseId(), role));
  }

  private void retry(PendingRequest pending, PollensparError error) {
    if (pending.expired(execution.now()) || !execution.budget().tryTake(pending.rank())) {
      execution.refuse(pending, error, execution.retryAfterMillis());
      return;
    }
    reroute(pending);
  }

  private void reroute(PendingRequest pending) {
    execution.removeForRetry(pending);
    rerouter.route(pending);
  }

  /** Refuses a read whose deadline passed while it ran. */
  void deadlinePassed(PendingRequest pending) {
    execution.discardConnection(pending);
    execution.refuse(
        pending,
        execution.error(ErrorKind.DEADLINE_EXPIRED, pending),
        execution.retryAfterMillis());
  }
}
