package org.pollenspar.proxy.connection;

import java.time.Duration;
import java.util.Optional;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.ReadNeed;
import org.pollenspar.core.request.ReadRouter;
import org.pollenspar.core.request.WorkRequest;

/**
 * Runs reads: one round trip, then the check of the state that came with the answer. What was known
 * when the read was routed only chooses the database; the check alone decides whether the answer
 * may be given.
 */
final class ReadExecutor {
  private final ExecutionState work;
  private final ReadStep step;
  private final Rerouter rerouter;

  /** Finds another database for a read. */
  @FunctionalInterface
  interface Rerouter {
    void route(PendingRequest ticket);
  }

  ReadExecutor(ExecutionState work, ReadStep step, Rerouter rerouter) {
    this.work = work;
    this.step = step;
    this.rerouter = rerouter;
  }

  /** Sends a read on a connection that was checked out for it. */
  void start(PendingRequest ticket, PendingRequest.HeldConnection slot) {
    work.start(ticket, slot);
    WorkRequest request = ticket.request();
    String databaseId = slot.pool().address().databaseId();
    Duration timeout = Duration.ofNanos(request.remainingNanos(work.now()));
    slot.connection()
        .run(
            connection -> step.run(connection, databaseId, request.statements(), timeout),
            e -> new ReadAnswer.Failed(AnswerChecker.failed(databaseId, e)),
            answer -> answered(ticket, slot, answer));
  }

  private void answered(PendingRequest ticket, PendingRequest.HeldConnection slot, ReadAnswer answer) {
    if (ticket.answered() || !ticket.holds(slot)) {
      return;
    }
    if (slot.connection().clean()) {
      slot.pool().answered(work.now() - slot.sinceNanos());
    } else {
      slot.pool().failed();
    }
    work.release(ticket);
    if (answer instanceof ReadAnswer.Answered whole) {
      checkFreshness(ticket, slot, whole);
    } else if (answer instanceof ReadAnswer.Refused refused) {
      work.refuse(ticket, refused.error(), 0);
    } else if (answer instanceof ReadAnswer.Failed failed) {
      retry(ticket, failed.error());
    }
  }

  private void checkFreshness(PendingRequest ticket, PendingRequest.HeldConnection slot, ReadAnswer.Answered whole) {
    DatabaseState state = whole.state();
    work.databases().observed(state, slot.sinceNanos(), work.now());
    ReadNeed need = ticket.need();
    ReadRouter router = work.context().policy().router(ticket.request());
    boolean rightDatabase = state.databaseId().equals(slot.pool().address().databaseId());
    if (!rightDatabase || !router.acceptable(need, state, work.databases().tracker())) {
      work.context().meters().routedAgain();
      again(ticket);
      return;
    }
    if (!work.context()
        .invariants()
        .check(
            Invariant.READ_YOUR_WRITES,
            state.position().includes(need.position()),
            () -> state.position() + " lacks " + need.position())) {
      PollensparError error =
          PollensparError.of(
              ErrorKind.INVARIANT_VIOLATED,
              Invariant.READ_YOUR_WRITES.promise(),
              Invariant.READ_YOUR_WRITES.description());
      work.refuse(ticket, error, work.retryAfterMillis());
      return;
    }
    DatabaseRole role = state.role();
    work.context().meters().readServed(role);
    work.finish(
        ticket, new Outcome.Done(whole.tables(), Optional.empty(), state.databaseId(), role));
  }

  private void retry(PendingRequest ticket, PollensparError error) {
    if (ticket.expired(work.now()) || !work.budget().tryTake(ticket.rank())) {
      work.refuse(ticket, error, work.retryAfterMillis());
      return;
    }
    again(ticket);
  }

  private void again(PendingRequest ticket) {
    work.pause(ticket);
    rerouter.route(ticket);
  }

  /** Ends a read whose deadline passed while it ran. */
  void deadlinePassed(PendingRequest ticket) {
    work.abandon(ticket);
    work.refuse(ticket, work.error(ErrorKind.DEADLINE_EXPIRED, ticket), work.retryAfterMillis());
  }
}
