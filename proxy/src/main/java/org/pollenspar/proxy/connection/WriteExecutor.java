package org.pollenspar.proxy.connection;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.connection.GroupTracker;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.connection.Primary;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.WriteDecision;
import org.pollenspar.core.request.WriteEvent;

/**
 * Runs writes. {@link org.pollenspar.core.request.WriteStateMachine} makes all decisions; this
 * class carries them out (sends steps, schedules attempts, answers) and reports what happened as
 * events. Driven by the control thread.
 *
 * <p>After the commit a write waits until a majority of the group holds its position, or until its
 * term is over. It holds no connection during that wait, so that other requests can use it.
 */
final class WriteExecutor {
  /**
   * Spaces out the attempts of one write. A key that is in use by another attempt stays so for some
   * round trips.
   */
  private static final long RETRY_PAUSE_NANOS = 20_000_000L;

  private final ExecutionState execution;
  private final WriteSteps steps;
  private long acknowledgedTerm;
  private long acknowledgedNanos;

  WriteExecutor(ExecutionState execution, WriteSteps steps) {
    this.execution = execution;
    this.steps = steps;
  }

  /** Starts an attempt on the connection that was acquired for it. */
  void start(PendingRequest pending, PendingRequest.HeldConnection held, Primary primary) {
    execution.start(pending, held);
    handle(pending, new WriteEvent.Started(primary));
  }

  /** Reports an event to the write's state machine and carries out its decision. */
  void handle(PendingRequest pending, WriteEvent event) {
    if (pending.answered()) {
      return;
    }
    WriteDecision decision = pending.stateMachine().on(event, execution.now());
    if (decision instanceof WriteDecision.OpenTransaction) {
      sendStep(pending, (attempt, timeout) -> c -> steps.open(c, attempt, timeout));
    } else if (decision instanceof WriteDecision.RunStatements) {
      var statements = pending.request().statements();
      sendStep(pending, (attempt, timeout) -> c -> steps.run(c, attempt, statements, timeout));
    } else if (decision instanceof WriteDecision.SendCommit commit) {
      sendStep(
          pending, (attempt, timeout) -> c -> steps.commit(c, attempt, commit.tables(), timeout));
    } else if (decision instanceof WriteDecision.RecordNotRun record) {
      sendStep(
          pending,
          (attempt, timeout) -> c -> steps.recordNotRun(c, attempt, record.error(), timeout));
    } else if (decision instanceof WriteDecision.AwaitMajority await) {
      execution.releaseConnection(pending);
      pending.awaitPosition(await.position());
      checkMajority(pending);
    } else if (decision instanceof WriteDecision.TryAgain again) {
      scheduleRetry(pending, again, event instanceof WriteEvent.Failed);
    } else if (decision instanceof WriteDecision.Answer answer) {
      execution.releaseConnection(pending);
      answer(pending, answer.outcome());
    }
  }

  /** Builds one round trip for an attempt and the time left. */
  @FunctionalInterface
  private interface StepFactory {
    Function<DatabaseConnection, WriteEvent> step(WriteAttempt attempt, Duration timeout);
  }

  private void sendStep(PendingRequest pending, StepFactory factory) {
    PendingRequest.HeldConnection held = pending.heldConnection().orElseThrow();
    String databaseId = held.pool().address().databaseId();
    WriteAttempt attempt =
        new WriteAttempt(
            databaseId,
            pending.request().key().orElseThrow(),
            pending.stateMachine().fingerprint());
    long sentNanos = execution.now();
    Duration timeout = Duration.ofNanos(pending.request().remainingNanos(sentNanos));
    held.connection()
        .run(
            factory.step(attempt, timeout),
            e -> new WriteEvent.Failed(AnswerChecker.databaseFailed(databaseId, e)),
            event -> stepEnded(pending, held, event, sentNanos));
  }

  private void stepEnded(
      PendingRequest pending,
      PendingRequest.HeldConnection held,
      WriteEvent event,
      long sentNanos) {
    if (pending.answered() || !pending.holds(held)) {
      return;
    }
    stateOf(event)
        .ifPresent(state -> execution.databases().observed(state, sentNanos, execution.now()));
    if (event instanceof WriteEvent.Opened) {
      held.pool().recordAnswer(execution.now() - sentNanos);
    } else if (event instanceof WriteEvent.Failed && !held.connection().clean()) {
      held.pool().recordFailure();
    }
    handle(pending, event);
  }

  private static Optional<DatabaseState> stateOf(WriteEvent event) {
    if (event instanceof WriteEvent.Opened opened) {
      return Optional.of(opened.state());
    }
    if (event instanceof WriteEvent.Committed committed) {
      return Optional.of(committed.state());
    }
    return event instanceof WriteEvent.KeyFound found
        ? Optional.of(found.stateAfter())
        : Optional.empty();
  }

  private void scheduleRetry(PendingRequest pending, WriteDecision.TryAgain again, boolean pause) {
    execution.discardConnection(pending);
    execution.removeForRetry(pending);
    pending.awaitPosition(null);
    pending.nextAttempt(again.minimumTerm(), execution.now() + (pause ? RETRY_PAUSE_NANOS : 0));
    execution.queues().park(pending);
  }

  /** Resumes a write that waits for a majority if one holds its position or the term is over. */
  void checkMajority(PendingRequest pending) {
    Optional<Position> awaited = pending.awaitedPosition();
    if (awaited.isEmpty()) {
      return;
    }
    GroupTracker tracker = execution.databases().tracker();
    if (tracker.majorityHolds(awaited.get())) {
      handle(pending, new WriteEvent.MajorityHeld());
    } else if (tracker.superseded(awaited.get().term())) {
      handle(pending, new WriteEvent.Superseded(tracker.currentTerm()));
    }
  }

  /**
   * Ends the attempts of terms that are over. Their connections may lead to a primary that is cut
   * off from the others and would not answer.
   */
  void endSupersededAttempts(List<PendingRequest> active) {
    GroupTracker tracker = execution.databases().tracker();
    for (PendingRequest pending : active) {
      boolean over =
          pending.write()
              && pending.heldConnection().isPresent()
              && pending.stateMachine().primary().stream()
                  .anyMatch(primary -> tracker.superseded(primary.term()));
      if (over) {
        handle(pending, new WriteEvent.Superseded(tracker.currentTerm()));
      }
    }
  }

  /** Ends a write whose deadline passed, whether it runs or waits. */
  void deadlinePassed(PendingRequest pending) {
    boolean noPrimary = !pending.started() && execution.databases().primaryPool().isEmpty();
    handle(
        pending,
        noPrimary
            ? new WriteEvent.Refused(
                execution.error(ErrorKind.NO_PRIMARY, pending), execution.retryAfterMillis())
            : new WriteEvent.DeadlinePassed());
  }

  private void answer(PendingRequest pending, Outcome outcome) {
    InvariantChecker invariants = execution.context().invariants();
    boolean holds = true;
    if (outcome instanceof Outcome.Done done) {
      Position position = done.position().orElse(Position.ZERO);
      holds =
          invariants.check(
              Invariant.NO_STALE_ACKNOWLEDGEMENT,
              execution.databases().tracker().majorityHolds(position),
              () -> "no majority of the group holds position " + position);
      recordAcknowledgement(position.term());
    } else if (outcome instanceof Outcome.NotRun) {
      holds =
          invariants.check(
              Invariant.NOT_RUN_MEANS_NOT_RUN,
              !pending.stateMachine().mayHaveCommitted() || pending.awaitedPosition().isPresent(),
              () -> "request " + pending.request().requestId() + " may have committed");
    }
    execution.finish(pending, holds ? outcome : unknown(pending));
  }

  private static Outcome unknown(PendingRequest pending) {
    return new Outcome.Unknown(
        PollensparError.of(ErrorKind.OUTCOME_UNKNOWN, pending.request().key().orElse("")));
  }

  private void recordAcknowledgement(long term) {
    long now = execution.now();
    if (acknowledgedTerm > 0 && term > acknowledgedTerm) {
      execution.context().metrics().failoverGap(now - acknowledgedNanos);
    }
    acknowledgedTerm = Math.max(acknowledgedTerm, term);
    acknowledgedNanos = now;
  }
}
