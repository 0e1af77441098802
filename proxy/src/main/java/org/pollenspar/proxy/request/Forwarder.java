package org.pollenspar.proxy.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.Access;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.WorkRequest;
import org.pollenspar.net.connection.PeerAddress;
import org.pollenspar.net.connection.PeerFailure;
import org.pollenspar.net.connection.PeerNetwork;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.proxy.process.FleetSnapshot;
import org.pollenspar.wire.Envelope;
import org.pollenspar.wire.OutcomeCode;
import org.pollenspar.wire.WorkResponseMessage;

/**
 * Brings a request to a home of its group and its outcome back. Safe for use by several threads.
 *
 * <p>A home that refuses, or fails before the request was sent, leads to the next one. After a
 * write was sent to a home that was then lost, "not run" can no longer be claimed: it is asked
 * again with the retry flag until a home settles it or the deadline passes.
 */
public final class Forwarder {
  /** A home answers at the deadline; its answer needs the way back. */
  private static final long ANSWER_MARGIN_MILLIS = 100;

  private static final Duration ROUND_PAUSE = Duration.ofMillis(50);
  private static final int ROUNDS_BEFORE_REFUSAL = 3;
  private static final long RETRY_AFTER_MILLIS = 500;

  private final String ownId;
  private final PeerNetwork peers;
  private final LocalHomes local;
  private final ControlThread control;
  private final EntryMetrics metrics;
  private final HomeSelector selector;

  /**
   * Creates the forwarder.
   *
   * @param random breaks ties between homes
   */
  public Forwarder(
      String ownId,
      String ownDomain,
      PeerNetwork peers,
      LocalHomes local,
      ControlThread control,
      EntryMetrics metrics,
      RandomGenerator random) {
    this.ownId = ownId;
    this.peers = peers;
    this.local = local;
    this.control = control;
    this.metrics = metrics;
    this.selector = new HomeSelector(ownId, ownDomain, random);
  }

  /** Executes a request at one of its homes. */
  public CompletableFuture<Outcome> execute(ParsedWork work, FleetSnapshot fleet) {
    Execution execution = new Execution(work, fleet);
    execution.startRound();
    return execution.answer;
  }

  /** One request on its way; its steps follow one another, so it needs no lock. */
  private final class Execution {
    private final WorkRequest request;
    private final long configVersion;
    private final FleetSnapshot fleet;
    private final CompletableFuture<Outcome> answer = new CompletableFuture<>();
    private List<Host> order = List.of();
    private int next;
    private int rounds;
    private boolean mayHaveRun;

    Execution(ParsedWork work, FleetSnapshot fleet) {
      this.request = work.request();
      this.configVersion = work.configVersion();
      this.fleet = fleet;
      this.mayHaveRun = request.retry();
    }

    void startRound() {
      String group = request.group();
      List<Host> candidates = fleet.candidates(group);
      List<Host> homes = fleet.homes(group);
      List<Host> others = candidates.subList(homes.size(), candidates.size());
      selector.recordQueueLength(group, ownId, local.queueLength(group));
      order = selector.order(group, homes, others, control.nowNanos());
      next = 0;
      rounds++;
      askNext();
    }

    private void askNext() {
      if (request.remainingNanos(control.nowNanos()) <= 0) {
        finish(PollensparError.of(ErrorKind.DEADLINE_EXPIRED));
      } else if (next < order.size()) {
        ask(order.get(next++));
      } else if (rounds < ROUNDS_BEFORE_REFUSAL || mayHaveRun) {
        control.schedule(ROUND_PAUSE, this::startRound);
      } else {
        finish(PollensparError.of(ErrorKind.NO_HOME, request.group()));
      }
    }

    private void ask(Host home) {
      if (home.id().equals(ownId)) {
        local.submit(withRetry()).whenComplete((outcome, failure) -> localEnded(outcome, failure));
        return;
      }
      metrics.forwarded();
      long remaining = TimeUnit.NANOSECONDS.toMillis(request.remainingNanos(control.nowNanos()));
      Envelope.Builder body =
          Envelope.newBuilder()
              .setWorkRequest(
                  PeerMapping.request(request, mayHaveRun, configVersion, control.nowNanos()));
      peers
          .request(
              new PeerAddress(home.id(), home.address(), home.peerPort()),
              body,
              Duration.ofMillis(remaining + ANSWER_MARGIN_MILLIS))
          .whenComplete((response, failure) -> peerEnded(home, response, failure));
    }

    private WorkRequest withRetry() {
      return new WorkRequest(
          request.requestId(),
          request.group(),
          request.kind(),
          request.key(),
          mayHaveRun,
          request.arrivalNanos(),
          request.deadlineNanos(),
          request.sessionId(),
          request.sessionPosition(),
          request.statements());
    }

    private void localEnded(Optional<Outcome> outcome, Throwable failure) {
      if (failure != null) {
        homeLost();
      } else if (outcome.isPresent()) {
        answer.complete(outcome.get());
      } else {
        askNext();
      }
    }

    private void peerEnded(Host home, Envelope response, Throwable failure) {
      if (failure != null) {
        peerFailed(home, failure);
        return;
      }
      WorkResponseMessage message = response.getWorkResponse();
      selector.recordQueueLength(request.group(), home.id(), message.getQueueLength());
      if (response.hasWorkResponse() && message.getOutcome() == OutcomeCode.NOT_HOME) {
        metrics.notHome();
        askNext();
        return;
      }
      Optional<Outcome> outcome =
          response.hasWorkResponse() ? PeerMapping.outcome(message) : Optional.empty();
      outcome.ifPresentOrElse(answer::complete, this::homeLost);
    }

    private void peerFailed(Host home, Throwable failure) {
      selector.recordFailure(home.id(), control.nowNanos());
      metrics.peerFailed();
      Throwable cause = failure.getCause() == null ? failure : failure.getCause();
      PeerFailure known =
          failure instanceof PeerFailure direct
              ? direct
              : cause instanceof PeerFailure wrapped ? wrapped : null;
      if (known != null && !known.sent()) {
        askNext();
      } else {
        homeLost();
      }
    }

    /** The home may or may not have run the request. */
    private void homeLost() {
      mayHaveRun |= request.kind().access() == Access.WRITE;
      askNext();
    }

    private void finish(PollensparError error) {
      boolean write = request.kind().access() == Access.WRITE;
      answer.complete(
          mayHaveRun && write
              ? new Outcome.Unknown(
                  PollensparError.of(ErrorKind.OUTCOME_UNKNOWN, request.key().orElse("")))
              : new Outcome.NotRun(error, RETRY_AFTER_MILLIS));
    }
  }
}
