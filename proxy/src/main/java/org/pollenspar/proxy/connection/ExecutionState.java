package org.pollenspar.proxy.connection;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.RetryBudget;

/**
 * State that the read and write executors of one home share: databases, queues, retry budget and
 * the requests in progress. Driven by the control thread.
 *
 * <p>A request is in progress from its first acquired connection until it is answered or waits for
 * another attempt. Executors give up a connection through {@link #releaseConnection} or {@link
 * #discardConnection}, which also tell the queue how long the connection was held.
 */
final class ExecutionState {
  private static final long RETRY_AFTER_MILLIS = 200;

  private final HomeContext context;
  private final GroupDatabases databases;
  private final HomeQueues queues;
  private final RetryBudget budget = new RetryBudget();
  private final Set<PendingRequest> active = new HashSet<>();

  ExecutionState(HomeContext context, GroupDatabases databases, HomeQueues queues) {
    this.context = context;
    this.databases = databases;
    this.queues = queues;
  }

  HomeContext context() {
    return context;
  }

  GroupDatabases databases() {
    return databases;
  }

  HomeQueues queues() {
    return queues;
  }

  RetryBudget budget() {
    return budget;
  }

  long now() {
    return context.control().nowNanos();
  }

  /** Returns the requests that hold a connection or wait for a majority. */
  List<PendingRequest> active() {
    return new ArrayList<>(active);
  }

  int activeCount() {
    return active.size();
  }

  /** Records that an attempt starts on a connection. */
  void start(PendingRequest pending, PendingRequest.HeldConnection held) {
    if (pending.started()) {
      context.metrics().retried();
    } else {
      context
          .metrics()
          .waited(pending.rank(), held.acquiredNanos() - pending.request().arrivalNanos());
    }
    pending.start(held);
    active.add(pending);
  }

  /** Releases the request's connection to its pool, if it holds one. */
  void releaseConnection(PendingRequest pending) {
    Optional<PendingRequest.HeldConnection> held = pending.heldConnection();
    if (held.isEmpty()) {
      return;
    }
    pending.clearHeldConnection();
    long heldNanos = now() - held.get().acquiredNanos();
    context.metrics().served(pending.rank(), heldNanos);
    queues.completed(held.get().destination(), pending.rank(), heldNanos, now());
    held.get().pool().release(held.get().connection());
  }

  /** Closes the request's connection, if it holds one, even if a step runs on it. */
  void discardConnection(PendingRequest pending) {
    pending
        .heldConnection()
        .ifPresent(
            held -> {
              pending.clearHeldConnection();
              long heldNanos = now() - held.acquiredNanos();
              queues.completed(held.destination(), pending.rank(), heldNanos, now());
              held.pool().discard(held.connection());
            });
  }

  /** Removes a request from those in progress without answering it, for another attempt. */
  void removeForRetry(PendingRequest pending) {
    active.remove(pending);
  }

  /** Answers a request; a success adds to the retry budget of its rank. */
  void finish(PendingRequest pending, Outcome outcome) {
    active.remove(pending);
    if (outcome instanceof Outcome.Done) {
      budget.succeeded(pending.rank());
    }
    pending.answer(outcome);
  }

  /**
   * Answers "not run". Called for reads only; the outcome of a write is decided by its state
   * machine.
   */
  void refuse(PendingRequest pending, PollensparError error, long retryAfterMillis) {
    finish(pending, new Outcome.NotRun(error, retryAfterMillis));
  }

  /** Returns a refusal whose message needs no more than the request. */
  PollensparError error(ErrorKind kind, PendingRequest pending) {
    return switch (kind) {
      case QUEUE_FULL -> PollensparError.of(kind, pending.rank().name());
      case NO_PRIMARY, NO_FRESH_DATABASE -> PollensparError.of(kind, pending.request().group());
      default -> PollensparError.of(kind);
    };
  }

  long retryAfterMillis() {
    return RETRY_AFTER_MILLIS;
  }
}
