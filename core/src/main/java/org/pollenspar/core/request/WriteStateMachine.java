package org.pollenspar.core.request;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.connection.Primary;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;

/**
 * The state machine of one write over all its attempts. For each {@link WriteEvent} it decides what
 * to do next: send a step, retry, wait for a majority, or answer. It performs no input or output
 * and is not thread-safe.
 *
 * <p>An attempt passes through the steps OPENING (insert the key), RUNNING (the statements),
 * COMMITTING and AWAITING (until a majority holds the commit). After a failure the machine returns
 * to IDLE and asks for another attempt. A write is acknowledged only after a majority of the group
 * holds its commit, since a commit that only the primary holds can be lost by a failover.
 *
 * <p>Invariant: {@link #mayHaveCommitted} is set once any attempt with this key may have sent a
 * commit, here or, for a request with the retry flag, elsewhere, and is never cleared. While it is
 * set, "not run" is answered only from a record that a majority holds, because the key of that
 * record prevents every other attempt from committing, in this term and in all later ones. Without
 * such a record the answer is "unknown". A lookup that finds no record is not enough, since an
 * attempt whose messages are still under way can commit after the lookup.
 *
 * <p>Each retry takes from the {@link RetryBudget}, except after a change of term. There is at most
 * one of those per term, and limiting them would turn a failover into refused writes.
 */
public final class WriteStateMachine {

  /** Retry hint for refusals with a short-lived cause; about the duration of a few requests. */
  private static final long RETRY_AFTER_MILLIS = 100;

  private enum Phase {
    IDLE,
    OPENING,
    RUNNING,
    COMMITTING,
    AWAITING,
    ANSWERED
  }

  private final WorkRequest request;
  private final String key;
  private final String fingerprint;
  private final RetryBudget budget;
  private Phase phase = Phase.IDLE;
  private boolean mayHaveCommitted;
  private int attempts;
  private long minimumTerm;
  private @Nullable Primary primary;

  /** Outcome once the commit that was sent is answered; its position is not known yet. */
  private @Nullable Outcome outcomeAtCommit;

  /** Outcome once a majority holds the awaited position. */
  private @Nullable Outcome outcomeAtMajority;

  private @Nullable Position awaited;
  private WriteDecision.@Nullable Answer answer;

  /**
   * Creates the state machine of one write.
   *
   * @param request a write; its key must be present
   * @param budget retry budget of the home proxy that runs it
   */
  public WriteStateMachine(WorkRequest request, RetryBudget budget) {
    this.request = request;
    this.key =
        request
            .key()
            .orElseThrow(
                () -> new IllegalArgumentException("A write requires an idempotency key."));
    this.fingerprint = Fingerprint.of(request);
    this.budget = budget;
    this.mayHaveCommitted = request.retry();
  }

  /** Returns the fingerprint to store in the key's record. */
  public String fingerprint() {
    return fingerprint;
  }

  /** Returns whether any attempt with this key may have committed or may still do so. */
  public boolean mayHaveCommitted() {
    return mayHaveCommitted;
  }

  /** Returns how many attempts this state machine has started. */
  public int attempts() {
    return attempts;
  }

  /** Returns the primary of the latest attempt; empty before the first. */
  public Optional<Primary> primary() {
    return Optional.ofNullable(primary);
  }

  /**
   * Handles an event and returns what to do next. Once the write is answered, every event returns
   * the same answer.
   *
   * @throws IllegalStateException if the event cannot occur in the current step
   */
  public WriteDecision on(WriteEvent event, long nowNanos) {
    if (answer != null) {
      return answer;
    }
    if (event instanceof WriteEvent.Started started) {
      return started(started.primary());
    } else if (event instanceof WriteEvent.Opened opened) {
      return opened(opened.state(), nowNanos);
    } else if (event instanceof WriteEvent.KeyFound found) {
      return keyFound(found, nowNanos);
    } else if (event instanceof WriteEvent.KeyBusy) {
      return keyBusy(nowNanos);
    } else if (event instanceof WriteEvent.StatementsMatched matched) {
      return matched(matched.tables(), nowNanos);
    } else if (event instanceof WriteEvent.StatementsRejected rejected) {
      return rejected(rejected.error(), nowNanos);
    } else if (event instanceof WriteEvent.Committed committed) {
      return committed(committed.state(), nowNanos);
    } else if (event instanceof WriteEvent.MajorityHeld) {
      return majorityHeld();
    } else if (event instanceof WriteEvent.Failed) {
      return failed(nowNanos);
    } else if (event instanceof WriteEvent.NotPrimary) {
      return termChanged(currentTerm() + 1, nowNanos);
    } else if (event instanceof WriteEvent.Superseded superseded) {
      return superseded(superseded.term(), nowNanos);
    } else if (event instanceof WriteEvent.Refused refused) {
      return answerNotDone(refused.error(), refused.retryAfterMillis());
    }
    return answerNotDone(PollensparError.of(ErrorKind.DEADLINE_EXPIRED), RETRY_AFTER_MILLIS);
  }

  private WriteDecision started(Primary newPrimary) {
    expect(Phase.IDLE);
    if (newPrimary.term() < minimumTerm) {
      throw new IllegalStateException(
          "Term " + newPrimary.term() + " is below the required term " + minimumTerm + ".");
    }
    primary = newPrimary;
    minimumTerm = newPrimary.term();
    attempts++;
    phase = Phase.OPENING;
    return new WriteDecision.OpenTransaction();
  }

  private WriteDecision opened(DatabaseState state, long nowNanos) {
    expect(Phase.OPENING);
    if (!isPrimaryOfAttempt(state)) {
      return termChanged(highestTermOf(state), nowNanos);
    }
    phase = Phase.RUNNING;
    return new WriteDecision.RunStatements();
  }

  private WriteDecision matched(List<ResultTable> tables, long nowNanos) {
    expect(Phase.RUNNING);
    if (request.remainingNanos(nowNanos) <= 0) {
      return answerNotDone(PollensparError.of(ErrorKind.DEADLINE_EXPIRED), RETRY_AFTER_MILLIS);
    }
    phase = Phase.COMMITTING;
    mayHaveCommitted = true;
    outcomeAtCommit = done(tables, Position.ZERO);
    return new WriteDecision.SendCommit(tables);
  }

  private WriteDecision rejected(PollensparError error, long nowNanos) {
    expect(Phase.RUNNING);
    if (!mayHaveCommitted) {
      return answer(new Outcome.NotRun(error, 0));
    }
    if (request.remainingNanos(nowNanos) <= 0) {
      return answer(unknown());
    }
    phase = Phase.COMMITTING;
    outcomeAtCommit = new Outcome.NotRun(error, 0);
    return new WriteDecision.RecordNotRun(error);
  }

  private WriteDecision committed(DatabaseState state, long nowNanos) {
    expect(Phase.COMMITTING);
    if (!isPrimaryOfAttempt(state)) {
      return termChanged(highestTermOf(state), nowNanos);
    }
    return await(java.util.Objects.requireNonNull(outcomeAtCommit), state.position());
  }

  private WriteDecision keyFound(WriteEvent.KeyFound found, long nowNanos) {
    if (phase != Phase.OPENING && phase != Phase.COMMITTING) {
      throw new IllegalStateException(
          "A key record was found in step " + phase + ", in which no key is looked up.");
    }
    DatabaseState state = found.stateAfter();
    if (!isPrimaryOfAttempt(state)) {
      return termChanged(highestTermOf(state), nowNanos);
    }
    boolean sameRequest = found.record().fingerprint().equals(fingerprint);
    if (!sameRequest && !mayHaveCommitted) {
      // No attempt of this request has sent a commit, so "not run" holds without a majority.
      return answer(keyReused());
    }
    return await(sameRequest ? recordedOutcome(found.record()) : keyReused(), state.position());
  }

  private Outcome recordedOutcome(KeyRecord record) {
    if (record.result() instanceof KeyRecord.Result.Ran ran) {
      return done(ran.tables(), Position.ZERO);
    }
    return new Outcome.NotRun(((KeyRecord.Result.NotRun) record.result()).error(), 0);
  }

  private Outcome keyReused() {
    return new Outcome.NotRun(PollensparError.of(ErrorKind.KEY_REUSED, key), 0);
  }

  private WriteDecision keyBusy(long nowNanos) {
    if (phase != Phase.OPENING && phase != Phase.COMMITTING) {
      throw new IllegalStateException(
          "A key was reported as busy in step " + phase + ", in which no key is inserted.");
    }
    // The other attempt that holds the key may be one of this request and may still commit.
    mayHaveCommitted = true;
    return failed(nowNanos);
  }

  private WriteDecision await(Outcome outcome, Position position) {
    phase = Phase.AWAITING;
    awaited = position;
    outcomeAtMajority =
        outcome instanceof Outcome.Done done ? done(done.results(), position) : outcome;
    return new WriteDecision.AwaitMajority(position);
  }

  private WriteDecision majorityHeld() {
    expect(Phase.AWAITING);
    return answer(java.util.Objects.requireNonNull(outcomeAtMajority));
  }

  private WriteDecision superseded(long term, long nowNanos) {
    if (phase == Phase.IDLE) {
      minimumTerm = Math.max(minimumTerm, term);
      return tryAgain();
    }
    if (term <= currentTerm()) {
      throw new IllegalStateException("Term " + term + " is not above " + currentTerm() + ".");
    }
    return termChanged(term, nowNanos);
  }

  /** Retries without using the budget, since there is at most one such retry per term. */
  private WriteDecision termChanged(long term, long nowNanos) {
    if (request.remainingNanos(nowNanos) <= 0) {
      return answerNotDone(PollensparError.of(ErrorKind.DEADLINE_EXPIRED), RETRY_AFTER_MILLIS);
    }
    minimumTerm = Math.max(minimumTerm, Math.max(term, currentTerm() + 1));
    return tryAgain();
  }

  private WriteDecision failed(long nowNanos) {
    if (phase == Phase.AWAITING && outcomeAtMajority != null && awaited != null) {
      // The commit was answered; a connection that fails afterwards does not change the wait.
      return new WriteDecision.AwaitMajority(awaited);
    }
    if (request.remainingNanos(nowNanos) <= 0) {
      return answerNotDone(PollensparError.of(ErrorKind.DEADLINE_EXPIRED), RETRY_AFTER_MILLIS);
    }
    Rank rank = request.kind().rank();
    if (!budget.tryTake(rank)) {
      return answerNotDone(
          PollensparError.of(ErrorKind.RETRY_BUDGET_SPENT, rank.name()), RETRY_AFTER_MILLIS);
    }
    return tryAgain();
  }

  private WriteDecision tryAgain() {
    phase = Phase.IDLE;
    outcomeAtCommit = null;
    outcomeAtMajority = null;
    return new WriteDecision.TryAgain(mayHaveCommitted, minimumTerm);
  }

  /** Answers "not run" with this error, or "unknown" if an attempt may have committed. */
  private WriteDecision answerNotDone(PollensparError error, long retryAfterMillis) {
    return answer(mayHaveCommitted ? unknown() : new Outcome.NotRun(error, retryAfterMillis));
  }

  private Outcome unknown() {
    return new Outcome.Unknown(PollensparError.of(ErrorKind.OUTCOME_UNKNOWN, key));
  }

  private Outcome done(List<ResultTable> tables, Position position) {
    String servedBy = primary == null ? "" : primary.databaseId();
    return new Outcome.Done(tables, Optional.of(position), servedBy, DatabaseRole.PRIMARY);
  }

  private WriteDecision answer(Outcome outcome) {
    phase = Phase.ANSWERED;
    answer = new WriteDecision.Answer(outcome);
    return answer;
  }

  private boolean isPrimaryOfAttempt(DatabaseState state) {
    return primary != null
        && state.leads()
        && state.databaseId().equals(primary.databaseId())
        && state.logTerm() == primary.term();
  }

  private static long highestTermOf(DatabaseState state) {
    return Math.max(state.logTerm(), state.fencedTerm());
  }

  private long currentTerm() {
    return primary == null ? 0 : primary.term();
  }

  private void expect(Phase expected) {
    if (phase != expected) {
      throw new IllegalStateException(
          "The event is only valid in step " + expected + "; the write is in step " + phase + ".");
    }
  }
}
