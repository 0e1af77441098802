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
 * One write across its attempts: decides what a failure means, whether to try again, and what to
 * answer. Driven by one thread.
 *
 * <p>The rule behind all decisions: {@link #mayHaveCommitted} is set once any attempt with this key
 * may have sent a commit, here or, for a request with the retry flag, elsewhere. It is never
 * cleared. While it is set, "not run" is answered only from a record that a majority holds, since
 * the record's key then stops every other attempt in every later term. Otherwise the answer is
 * "unknown". A lookup that finds no record is not enough: an attempt that is still on its way can
 * commit after the lookup.
 *
 * <p>Retries take from the {@link RetryBudget}, except after a change of term: these are at most
 * one per term, and cutting them off would turn a failover into refused writes.
 */
public final class WriteStateMachine {

  /** Told with refusals that may pass soon: about the time of a few requests. */
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
  private @Nullable Outcome atCommit;
  private @Nullable Outcome atMajority;
  private @Nullable Position awaited;
  private WriteDecision.@Nullable Answer answer;

  /**
   * Creates the progress of one write.
   *
   * @param request a write; its key must be present
   * @param budget budget of the home that runs it
   */
  public WriteStateMachine(WorkRequest request, RetryBudget budget) {
    this.request = request;
    this.key =
        request.key().orElseThrow(() -> new IllegalArgumentException("A write needs a key."));
    this.fingerprint = Fingerprint.of(request);
    this.budget = budget;
    this.mayHaveCommitted = request.retry();
  }

  /** Returns the fingerprint for the key's record. */
  public String fingerprint() {
    return fingerprint;
  }

  /** Returns whether any attempt with this key may have committed or may still do so. */
  public boolean mayHaveCommitted() {
    return mayHaveCommitted;
  }

  /** Returns how many attempts were started here. */
  public int attempts() {
    return attempts;
  }

  /** Returns the primary of the current attempt. */
  public Optional<Primary> primary() {
    return Optional.ofNullable(primary);
  }

  /**
   * Takes an event and returns what to do. After the answer, every event returns the same answer.
   *
   * @throws IllegalStateException if the event cannot happen in the current step
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
      return end(refused.error(), refused.retryAfterMillis());
    }
    return end(PollensparError.of(ErrorKind.DEADLINE_EXPIRED), RETRY_AFTER_MILLIS);
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
    if (!leadsAttempt(state)) {
      return termChanged(termAfter(state), nowNanos);
    }
    phase = Phase.RUNNING;
    return new WriteDecision.RunStatements();
  }

  private WriteDecision matched(List<ResultTable> tables, long nowNanos) {
    expect(Phase.RUNNING);
    if (request.remainingNanos(nowNanos) <= 0) {
      return end(PollensparError.of(ErrorKind.DEADLINE_EXPIRED), RETRY_AFTER_MILLIS);
    }
    phase = Phase.COMMITTING;
    mayHaveCommitted = true;
    atCommit = done(tables, Position.ZERO);
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
    atCommit = new Outcome.NotRun(error, 0);
    return new WriteDecision.RecordNotRun(error);
  }

  private WriteDecision committed(DatabaseState state, long nowNanos) {
    expect(Phase.COMMITTING);
    if (!leadsAttempt(state)) {
      return termChanged(termAfter(state), nowNanos);
    }
    return await(java.util.Objects.requireNonNull(atCommit), state.position());
  }

  private WriteDecision keyFound(WriteEvent.KeyFound found, long nowNanos) {
    if (phase != Phase.OPENING && phase != Phase.COMMITTING) {
      throw new IllegalStateException("A key was found in step " + phase + ".");
    }
    DatabaseState state = found.stateAfter();
    if (!leadsAttempt(state)) {
      return termChanged(termAfter(state), nowNanos);
    }
    boolean sameRequest = found.record().fingerprint().equals(fingerprint);
    if (!sameRequest && !mayHaveCommitted) {
      return answer(keyReused());
    }
    return await(sameRequest ? recorded(found.record()) : keyReused(), state.position());
  }

  private Outcome recorded(KeyRecord record) {
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
      throw new IllegalStateException("A key was busy in step " + phase + ".");
    }
    mayHaveCommitted = true;
    return failed(nowNanos);
  }

  private WriteDecision await(Outcome outcome, Position position) {
    phase = Phase.AWAITING;
    awaited = position;
    atMajority = outcome instanceof Outcome.Done done ? done(done.results(), position) : outcome;
    return new WriteDecision.AwaitMajority(position);
  }

  private WriteDecision majorityHeld() {
    expect(Phase.AWAITING);
    return answer(java.util.Objects.requireNonNull(atMajority));
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

  /** The attempt's term is over; the next attempt is free, since each term allows one. */
  private WriteDecision termChanged(long term, long nowNanos) {
    if (request.remainingNanos(nowNanos) <= 0) {
      return end(PollensparError.of(ErrorKind.DEADLINE_EXPIRED), RETRY_AFTER_MILLIS);
    }
    minimumTerm = Math.max(minimumTerm, Math.max(term, currentTerm() + 1));
    return tryAgain();
  }

  private WriteDecision failed(long nowNanos) {
    if (phase == Phase.AWAITING && atMajority != null && awaited != null) {
      return new WriteDecision.AwaitMajority(awaited);
    }
    if (request.remainingNanos(nowNanos) <= 0) {
      return end(PollensparError.of(ErrorKind.DEADLINE_EXPIRED), RETRY_AFTER_MILLIS);
    }
    Rank rank = request.kind().rank();
    if (!budget.tryTake(rank)) {
      return end(PollensparError.of(ErrorKind.RETRY_BUDGET_SPENT, rank.name()), RETRY_AFTER_MILLIS);
    }
    return tryAgain();
  }

  private WriteDecision tryAgain() {
    phase = Phase.IDLE;
    atCommit = null;
    atMajority = null;
    return new WriteDecision.TryAgain(mayHaveCommitted, minimumTerm);
  }

  private WriteDecision end(PollensparError error, long retryAfterMillis) {
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

  private boolean leadsAttempt(DatabaseState state) {
    return primary != null
        && state.leads()
        && state.databaseId().equals(primary.databaseId())
        && state.logTerm() == primary.term();
  }

  private static long termAfter(DatabaseState state) {
    return Math.max(state.logTerm(), state.fencedTerm());
  }

  private long currentTerm() {
    return primary == null ? 0 : primary.term();
  }

  private void expect(Phase expected) {
    if (phase != expected) {
      throw new IllegalStateException("Expected step " + expected + ", was " + phase + ".");
    }
  }
}
