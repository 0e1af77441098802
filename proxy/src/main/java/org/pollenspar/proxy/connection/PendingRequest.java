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

/**
 * A request at its home, from submission to the answer, across all its attempts. Driven by the
 * control thread.
 *
 * <p>During an attempt it holds a connection. A write that waits for a majority holds none and has
 * an awaited position instead. A result that arrives for a connection the request no longer holds
 * belongs to an abandoned attempt; see {@link #holds}.
 */
final class PendingRequest {
  private final WorkRequest request;
  private final CompletableFuture<Optional<Outcome>> answer;
  private final @Nullable WriteStateMachine stateMachine;
  private @Nullable HeldConnection held;
  private @Nullable Position awaitedPosition;
  private long minimumTerm;
  private long notBeforeNanos;
  private int attempts;

  /**
   * The connection that a request holds.
   *
   * @param pool pool to release the connection to
   * @param connection the connection
   * @param acquiredNanos when it was acquired
   * @param destination queue that the request was taken from
   */
  record HeldConnection(
      DatabaseConnectionPool pool,
      PooledConnection connection,
      long acquiredNanos,
      HomeQueues.Destination destination) {}

  /**
   * Creates a request that has not started.
   *
   * @param answer completed with the outcome, or with empty if the request is returned unstarted
   * @param stateMachine state of a write across its attempts; null for reads
   */
  PendingRequest(
      WorkRequest request,
      CompletableFuture<Optional<Outcome>> answer,
      @Nullable WriteStateMachine stateMachine) {
    this.request = request;
    this.answer = answer;
    this.stateMachine = stateMachine;
  }

  WorkRequest request() {
    return request;
  }

  Rank rank() {
    return request.kind().rank();
  }

  ReadRequirement requirement() {
    return ReadRequirement.of(request);
  }

  boolean write() {
    return stateMachine != null;
  }

  /** Returns the state of a write; fails for reads. */
  WriteStateMachine stateMachine() {
    return java.util.Objects.requireNonNull(stateMachine);
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

  /** Tells the entry proxy that nothing was started, so that it asks another home. */
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

  /** Returns whether the attempt that acquired this connection is still the current one. */
  boolean holds(HeldConnection expected) {
    return held == expected;
  }

  void clearHeldConnection() {
    held = null;
  }

  Optional<Position> awaitedPosition() {
    return Optional.ofNullable(awaitedPosition);
  }

  /** Sets the position that a majority must hold before the write is answered; null for none. */
  void awaitPosition(@Nullable Position position) {
    awaitedPosition = position;
  }

  long minimumTerm() {
    return minimumTerm;
  }

  /**
   * Sets the conditions of the next attempt.
   *
   * @param term least term of the primary
   * @param nanos earliest start, which spaces the attempts out
   */
  void nextAttempt(long term, long nanos) {
    minimumTerm = term;
    notBeforeNanos = nanos;
  }

  boolean waitsBeforeRetry(long nowNanos) {
    return started() && nowNanos - notBeforeNanos < 0;
  }
}
