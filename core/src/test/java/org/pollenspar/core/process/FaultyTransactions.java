package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A connection to a store on which transactions get no answer while a fault is set, and on which
 * the answers to reads can be held up.
 */
final class FaultyTransactions implements CoordinationStore {
  /** What happens to the transactions that get no answer. */
  enum Fault {
    NONE,
    EXECUTED_AT_ONCE,
    EXECUTED_LATER
  }

  private final CoordinationStore target;
  private final List<Runnable> held = new ArrayList<>();
  private final List<Runnable> heldAnswers = new ArrayList<>();
  Fault fault = Fault.NONE;
  boolean holdsReadAnswers;

  FaultyTransactions(CoordinationStore target) {
    this.target = target;
  }

  /** Executes the first transaction of {@link Fault#EXECUTED_LATER}. */
  void executeFirstHeld() {
    held.get(0).run();
  }

  /** Delivers the answer to the first read that was held up and not delivered yet. */
  void deliverHeldAnswer() {
    heldAnswers.remove(0).run();
  }

  @Override
  public void transact(
      List<Expectation> expected, List<Put> puts, List<String> deletes, Consumer<Reply> done) {
    Reply noAnswer = new Reply(Status.UNKNOWN, List.of(), 0, 0);
    switch (fault) {
      case EXECUTED_AT_ONCE ->
          target.transact(expected, puts, deletes, ignored -> done.accept(noAnswer));
      case EXECUTED_LATER -> {
        held.add(() -> target.transact(expected, puts, deletes, ignored -> {}));
        done.accept(noAnswer);
      }
      default -> target.transact(expected, puts, deletes, done);
    }
  }

  @Override
  public void range(String prefix, Consumer<Reply> done) {
    target.range(
        prefix,
        reply -> {
          if (holdsReadAnswers) {
            heldAnswers.add(() -> done.accept(reply));
          } else {
            done.accept(reply);
          }
        });
  }

  @Override
  public void watch(String prefix, long afterRevision, long waitMillis, Consumer<Reply> done) {
    target.watch(prefix, afterRevision, waitMillis, done);
  }

  @Override
  public void grantLease(long ttlMillis, Consumer<Reply> done) {
    target.grantLease(ttlMillis, done);
  }

  @Override
  public void renewLease(long lease, Consumer<Reply> done) {
    target.renewLease(lease, done);
  }

  @Override
  public void endLease(long lease, Consumer<Reply> done) {
    target.endLease(lease, done);
  }
}
