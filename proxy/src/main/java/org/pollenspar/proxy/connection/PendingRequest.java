package org.pollenspar.proxy.connection;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.Rank;
import org.pollenspar.core.request.ReadRequirement;
import org.pollenspar.core.request.WorkRequest;
import org.pollenspar.core.request.WriteStateMachine;

/** One request at its home, from submission to the answer. Driven by the control thread. */
final class PendingRequest {
  private final WorkRequest request;
  private final CompletableFuture<Optional<Outcome>> answer;
  private final @Nullable WriteStateMachine progress;
  private @Nullable HeldConnection held;
  private @Nullable Position awaitedPosition;
  private long minimumTerm;
  private long notBeforeNanos;
  private int attempts;

  /**
   * The connection that a request holds.
   *
   * @param pool pool of the connection
   * @param connection the connection
   * @param acquiredNanos when it was taken
   * @param destination queue that the request came from
   */
  record HeldConnection(
      DatabaseConnectionPool pool,
      PooledConnection connection,
      long acquiredNanos,
      HomeQueues.Destination destination) {}

  /**
   * Creates a ticket.
   *
   * @param answer completed with the outcome, or empty if the request was handed back unstarted
   * @param progress null for reads
   */
  PendingRequest(
      WorkRequest request,
      CompletableFuture<Optional<Outcome>> answer,
      @Nullable WriteStateMachine progress) {
    this.request = request;
    this.answer = answer;
    this.progress = progress;
  }

  WorkRequest request() {
    return request;
  }

  Rank rank() {
    return request.kind().rank();
  }

  ReadRequirement need() {
    return ReadRequirement.of(request);
  }

  boolean write() {
    return progress != null;
  }

  /** Returns the progress of a write. */
  WriteStateMachine progress() {
    return java.util.Objects.requireNonNull(progress);
  }

  boolean expired(long nowNanos) {
    return request.remainingNanos(nowNanos) <= 0;
  }

  boolean answered() {
    return answer.isDone();
  }

  void answer(Outcome outcome) {
    answer.complete(Optional.of(outcome));
  }

  /** Tells the entry that nothing was started, so that it asks another home. */
  void returnUnstarted() {
    answer.complete(Optional.empty());
  }

  boolean started() {
    return attempts > 0;
  }

  int attempts() {
    return attempts;
  }

  Optional<HeldConnection> heldConnection() {
    return Optional.ofNullable(held);
  }

  void start(HeldConnection taken) {
    held = taken;
    attempts++;
  }

  /** Returns whether this is the attempt that a step was started for. */
  boolean holds(HeldConnection expected) {
    return held == expected;
  }

  void clearHeldConnection() {
    held = null;
  }

  Optional<Position> awaitedPosition() {
    return Optional.ofNullable(awaitedPosition);
  }

  void awaitPosition(@Nullable Position position) {
    awaitedPosition = position;
  }

  long minimumTerm() {
    return minimumTerm;
  }

  /** Sets what the next attempt waits for: a term, and a time that spaces attempts out. */
  void nextAttempt(long term, long nanos) {
    minimumTerm = term;
    notBeforeNanos = nanos;
  }

  boolean waitsBeforeRetry(long nowNanos) {
    return started() && nowNanos - notBeforeNanos < 0;
  }
}
