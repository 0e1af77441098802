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
 * What reads and writes of one home share: its databases, queues, retry budget and the requests in
 * progress. Driven by the control thread.
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
  void start(PendingRequest ticket, PendingRequest.HeldConnection slot) {
    if (ticket.started()) {
      context.meters().retried();
    } else {
      context.meters().waited(ticket.rank(), slot.sinceNanos() - ticket.request().arrivalNanos());
    }
    ticket.start(slot);
    active.add(ticket);
  }

  /** Gives the connection back, or closes it unless its last step left it clean. */
  void release(PendingRequest ticket) {
    Optional<PendingRequest.HeldConnection> slot = ticket.slot();
    if (slot.isEmpty()) {
      return;
    }
    ticket.releaseSlot();
    long held = now() - slot.get().sinceNanos();
    context.meters().served(ticket.rank(), held);
    queues.completed(slot.get().lane(), ticket.rank(), held, now());
    slot.get().pool().giveBack(slot.get().connection());
  }

  /** Closes the connection, whatever it is doing. */
  void abandon(PendingRequest ticket) {
    ticket
        .slot()
        .ifPresent(
            slot -> {
              ticket.releaseSlot();
              long held = now() - slot.sinceNanos();
              queues.completed(slot.lane(), ticket.rank(), held, now());
              slot.pool().discard(slot.connection());
            });
  }

  /** Removes a ticket from the requests in progress without an answer, for another attempt. */
  void pause(PendingRequest ticket) {
    active.remove(ticket);
  }

  /** Answers a request. */
  void finish(PendingRequest ticket, Outcome outcome) {
    active.remove(ticket);
    if (outcome instanceof Outcome.Done) {
      budget.succeeded(ticket.rank());
    }
    ticket.answer(outcome);
  }

  /** Refuses a read, or a write of which nothing may have run. */
  void refuse(PendingRequest ticket, PollensparError error, long retryAfterMillis) {
    finish(ticket, new Outcome.NotRun(error, retryAfterMillis));
  }

  /** Returns the error for a refusal that depends only on its kind. */
  PollensparError error(ErrorKind kind, PendingRequest ticket) {
    return switch (kind) {
      case QUEUE_FULL -> PollensparError.of(kind, ticket.rank().name());
      case NO_PRIMARY, NO_FRESH_DATABASE -> PollensparError.of(kind, ticket.request().group());
      default -> PollensparError.of(kind);
    };
  }

  long retryAfterMillis() {
    return RETRY_AFTER_MILLIS;
  }
}
