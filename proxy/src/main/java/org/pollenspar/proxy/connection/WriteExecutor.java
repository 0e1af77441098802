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
 * Runs writes: carries out what {@link org.pollenspar.core.request.WriteProgress} decides, and
 * tells it what happened. The wait for the majority holds no connection.
 */
final class WriteExecutor {
  /** Spaces the attempts of one write out; a key that is busy stays so for some round trips. */
  private static final long RETRY_PAUSE_NANOS = 20_000_000L;

  private final ExecutionState work;
  private final WriteSteps steps;
  private long acknowledgedTerm;
  private long acknowledgedNanos;

  WriteExecutor(ExecutionState work, WriteSteps steps) {
    this.work = work;
    this.steps = steps;
  }

  /** Starts an attempt on a connection that was checked out for it. */
  void start(PendingRequest ticket, PendingRequest.HeldConnection slot, Primary primary) {
    work.start(ticket, slot);
    on(ticket, new WriteEvent.Started(primary));
  }

  /** Tells the write's progress what happened and carries out its decision. */
  void on(PendingRequest ticket, WriteEvent event) {
    if (ticket.answered()) {
      return;
    }
    WriteDecision decision = ticket.progress().on(event, work.now());
    if (decision instanceof WriteDecision.OpenTransaction) {
      step(ticket, (target, timeout) -> c -> steps.open(c, target, timeout));
    } else if (decision instanceof WriteDecision.RunStatements) {
      var statements = ticket.request().statements();
      step(ticket, (target, timeout) -> c -> steps.run(c, target, statements, timeout));
    } else if (decision instanceof WriteDecision.SendCommit commit) {
      step(ticket, (target, timeout) -> c -> steps.commit(c, target, commit.tables(), timeout));
    } else if (decision instanceof WriteDecision.RecordNotRun record) {
      step(
          ticket, (target, timeout) -> c -> steps.recordNotRun(c, target, record.error(), timeout));
    } else if (decision instanceof WriteDecision.AwaitMajority await) {
      work.release(ticket);
      ticket.await(await.position());
      settle(ticket);
    } else if (decision instanceof WriteDecision.TryAgain again) {
      tryAgain(ticket, again, event instanceof WriteEvent.Failed);
    } else if (decision instanceof WriteDecision.Answer answer) {
      work.release(ticket);
      answer(ticket, answer.outcome());
    }
  }

  /** Builds one round trip from its target and the time left. */
  @FunctionalInterface
  private interface StepFactory {
    Function<DatabaseConnection, WriteEvent> step(WriteAttempt target, Duration timeout);
  }

  private void step(PendingRequest ticket, StepFactory factory) {
    PendingRequest.HeldConnection slot = ticket.slot().orElseThrow();
    String databaseId = slot.pool().address().databaseId();
    WriteAttempt target =
        new WriteAttempt(
            databaseId, ticket.request().key().orElseThrow(), ticket.progress().fingerprint());
    long sentNanos = work.now();
    Duration timeout = Duration.ofNanos(ticket.request().remainingNanos(sentNanos));
    slot.connection()
        .run(
            factory.step(target, timeout),
            e -> new WriteEvent.Failed(AnswerChecker.failed(databaseId, e)),
            event -> stepEnded(ticket, slot, event, sentNanos));
  }

  private void stepEnded(PendingRequest ticket, PendingRequest.HeldConnection slot, WriteEvent event, long sentNanos) {
    if (ticket.answered() || !ticket.holds(slot)) {
      return;
    }
    stateOf(event).ifPresent(state -> work.databases().observed(state, sentNanos, work.now()));
    if (event instanceof WriteEvent.Opened) {
      slot.pool().answered(work.now() - sentNanos);
    } else if (event instanceof WriteEvent.Failed && !slot.connection().clean()) {
      slot.pool().failed();
    }
    on(ticket, event);
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

  private void tryAgain(PendingRequest ticket, WriteDecision.TryAgain again, boolean pause) {
    work.abandon(ticket);
    work.pause(ticket);
    ticket.await(null);
    ticket.nextAttempt(again.minimumTerm(), work.now() + (pause ? RETRY_PAUSE_NANOS : 0));
    work.queues().park(ticket);
  }

  /** Looks whether a majority holds the awaited position or the term is over. */
  void settle(PendingRequest ticket) {
    Optional<Position> awaited = ticket.awaited();
    if (awaited.isEmpty()) {
      return;
    }
    GroupTracker tracker = work.databases().tracker();
    if (tracker.majorityHolds(awaited.get())) {
      on(ticket, new WriteEvent.MajorityHeld());
    } else if (tracker.superseded(awaited.get().term())) {
      on(ticket, new WriteEvent.Superseded(tracker.currentTerm()));
    }
  }

  /** Ends the attempts of terms that are over; their connections may lead to a cut-off primary. */
  void supersede(List<PendingRequest> active) {
    GroupTracker tracker = work.databases().tracker();
    for (PendingRequest ticket : active) {
      boolean over =
          ticket.write()
              && ticket.slot().isPresent()
              && ticket.progress().primary().stream()
                  .anyMatch(primary -> tracker.superseded(primary.term()));
      if (over) {
        on(ticket, new WriteEvent.Superseded(tracker.currentTerm()));
      }
    }
  }

  /** Ends a write whose deadline passed, wherever it is. */
  void deadlinePassed(PendingRequest ticket) {
    boolean leaderless = !ticket.started() && work.databases().primaryPool().isEmpty();
    on(
        ticket,
        leaderless
            ? new WriteEvent.Refused(
                work.error(ErrorKind.NO_PRIMARY, ticket), work.retryAfterMillis())
            : new WriteEvent.DeadlinePassed());
  }

  private void answer(PendingRequest ticket, Outcome outcome) {
    InvariantChecker invariants = work.context().invariants();
    boolean holds = true;
    if (outcome instanceof Outcome.Done done) {
      Position position = done.position().orElse(Position.ZERO);
      holds =
          invariants.check(
              Invariant.NO_STALE_ACKNOWLEDGEMENT,
              work.databases().tracker().majorityHolds(position),
              () -> "no majority holds " + position);
      recordAcknowledgement(position.term());
    } else if (outcome instanceof Outcome.NotRun) {
      holds =
          invariants.check(
              Invariant.NOT_RUN_MEANS_NOT_RUN,
              !ticket.progress().mayHaveCommitted() || ticket.awaited().isPresent(),
              () -> "request " + ticket.request().requestId() + " may have committed");
    }
    work.finish(ticket, holds ? outcome : unknown(ticket));
  }

  private static Outcome unknown(PendingRequest ticket) {
    return new Outcome.Unknown(
        PollensparError.of(ErrorKind.OUTCOME_UNKNOWN, ticket.request().key().orElse("")));
  }

  private void recordAcknowledgement(long term) {
    long now = work.now();
    if (acknowledgedTerm > 0 && term > acknowledgedTerm) {
      work.context().meters().failoverGap(now - acknowledgedNanos);
    }
    acknowledgedTerm = Math.max(acknowledgedTerm, term);
    acknowledgedNanos = now;
  }
}
