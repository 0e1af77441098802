package org.pollenspar.core.request;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.pollenspar.core.connection.Primary;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;

/**
 * One write at one home proxy of {@link GroupModel}: carries out the decisions of {@link
 * WriteStateMachine} by messages that may be delayed or lost.
 */
final class GroupModelWrite {
  private static final PollensparError CONNECTION_LOST =
      PollensparError.of(ErrorKind.DATABASE_FAILED, "", "");

  /** One attempt: a connection to a database with at most one transaction. */
  private static final class Attempt {
    final GroupModelDatabase at;
    final long id;
    final long term;
    boolean commitSent;
    boolean closed;

    Attempt(GroupModelDatabase at, long id, long term) {
      this.at = at;
      this.id = id;
      this.term = term;
    }

    boolean alive() {
      return !closed && at.locks.containsValue(id);
    }

    void rollBack() {
      closed = true;
      at.locks.values().removeIf(holder -> holder == id);
    }
  }

  private final GroupModel model;
  private final GroupModel.Home home;
  private final GroupModel.Operation operation;
  private final WorkRequest request;
  private final String key;
  private final WriteStateMachine progress;
  private WriteDecision decision = new WriteDecision.TryAgain(false, 0);
  private Attempt attempt;

  GroupModelWrite(
      GroupModel model, GroupModel.Home home, GroupModel.Operation operation, WorkRequest request) {
    this.model = model;
    this.home = home;
    this.operation = operation;
    this.request = request;
    this.key = request.key().orElseThrow();
    this.progress = new WriteStateMachine(request, home.budget());
  }

  boolean answered() {
    return decision instanceof WriteDecision.Answer;
  }

  /** Reports the events that come from no database answer: start, new term, majority, deadline. */
  void advance() {
    if (answered()) {
      return;
    }
    long now = home.now();
    if (request.remainingNanos(now) <= 0) {
      event(new WriteEvent.DeadlinePassed());
    } else if (decision instanceof WriteDecision.TryAgain again) {
      Optional<Primary> primary =
          home.tracker().primary().filter(p -> p.term() >= again.minimumTerm());
      if (model.chance(3)) {
        event(new WriteEvent.Refused(CONNECTION_LOST, 10));
      } else if (primary.isPresent()) {
        GroupModelDatabase at = model.database(primary.get().databaseId());
        attempt = new Attempt(at, model.nextId(), primary.get().term());
        event(new WriteEvent.Started(primary.get()));
      }
    } else if (home.tracker().superseded(attempt.term)) {
      event(new WriteEvent.Superseded(home.tracker().currentTerm()));
    } else if (decision instanceof WriteDecision.AwaitMajority await
        && home.tracker().majorityHolds(await.position())) {
      event(new WriteEvent.MajorityHeld());
    }
  }

  private void event(WriteEvent event) {
    decision = progress.on(event, home.now());
    if (decision instanceof WriteDecision.OpenTransaction) {
      send(this::open);
    } else if (decision instanceof WriteDecision.RunStatements) {
      send(this::statements);
    } else if (decision instanceof WriteDecision.SendCommit commit) {
      attempt.commitSent = true;
      send(sent -> commit(sent, new KeyRecord.Result.Ran(commit.tables())));
    } else if (decision instanceof WriteDecision.RecordNotRun not) {
      attempt.commitSent = true;
      send(sent -> recordNotRun(sent, new KeyRecord.Result.NotRun(not.error())));
    } else if (attempt != null && !(decision instanceof WriteDecision.AwaitMajority)) {
      close(attempt);
    }
    if (decision instanceof WriteDecision.Answer answer) {
      model.answered(operation, this, answer.outcome());
    }
  }

  /**
   * Closes the connection of an attempt. Its transaction is rolled back some time later, even if
   * the message is lost. A commit that was sent arrives before the close, so nothing is rolled
   * back.
   */
  private void close(Attempt closing) {
    if (!closing.commitSent) {
      model.send(closing::rollBack, closing::rollBack);
    }
  }

  private void send(Function<Attempt, WriteEvent> step) {
    Attempt sent = attempt;
    Runnable lost =
        () -> {
          model.send(sent::rollBack, sent::rollBack);
          reply(sent, new WriteEvent.Failed(CONNECTION_LOST));
        };
    Runnable arrive =
        () -> {
          if (!model.connected(home, sent.at)) {
            lost.run();
            return;
          }
          WriteEvent answer = step.apply(sent);
          model.send(
              () -> reply(sent, answer), () -> reply(sent, new WriteEvent.Failed(CONNECTION_LOST)));
        };
    model.send(arrive, lost);
  }

  private void reply(Attempt sent, WriteEvent event) {
    boolean expected =
        !(decision instanceof WriteDecision.TryAgain)
            && !(decision instanceof WriteDecision.AwaitMajority);
    if (sent == attempt && expected && !answered()) {
      event(event);
    }
  }

  private WriteEvent open(Attempt sent) {
    if (sent.closed) {
      return new WriteEvent.Failed(CONNECTION_LOST);
    }
    if (!sent.at.state().leads()) {
      return new WriteEvent.NotPrimary();
    }
    return lookUp(sent)
        .orElseGet(
            () -> {
              sent.at.locks.put(key, sent.id);
              return new WriteEvent.Opened(sent.at.state());
            });
  }

  private Optional<WriteEvent> lookUp(Attempt sent) {
    Optional<GroupModelDatabase.Entry> entry = sent.at.find(key);
    if (entry.isPresent()) {
      KeyRecord found = new KeyRecord(entry.get().fingerprint(), entry.get().result());
      return Optional.of(new WriteEvent.KeyFound(found, sent.at.state()));
    }
    return sent.at.locks.containsKey(key)
        ? Optional.of(new WriteEvent.KeyBusy())
        : Optional.empty();
  }

  private WriteEvent statements(Attempt sent) {
    if (!sent.alive()) {
      return new WriteEvent.Failed(CONNECTION_LOST);
    }
    if (model.chance(25)) {
      sent.at.locks.remove(key);
      return new WriteEvent.StatementsRejected(
          PollensparError.of(ErrorKind.ROW_COUNT_MISMATCH, 1, 0, 1));
    }
    return new WriteEvent.StatementsMatched(List.of());
  }

  private WriteEvent commit(Attempt sent, KeyRecord.Result result) {
    return sent.alive() ? append(sent.at, result) : new WriteEvent.Failed(CONNECTION_LOST);
  }

  private WriteEvent recordNotRun(Attempt sent, KeyRecord.Result result) {
    return lookUp(sent).orElseGet(() -> append(sent.at, result));
  }

  private WriteEvent append(GroupModelDatabase at, KeyRecord.Result result) {
    at.locks.remove(key);
    if (!at.state().leads()) {
      return new WriteEvent.NotPrimary();
    }
    at.log.add(
        new GroupModelDatabase.Entry(
            at.logTerm, key, progress.fingerprint(), result, model.replaced(at.logTerm)));
    return new WriteEvent.Committed(at.state());
  }
}
