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
 * Forwards a request to a home of its group and returns the outcome. Runs at the entry, the proxy
 * that the caller is connected to. Safe for use by several threads.
 *
 * <p>Homes are asked one after another. If a proxy answers that it is no home of the group, or if
 * the request could not be sent to it, the next one is asked. An outcome of a home is final, also a
 * refusal.
 *
 * <p>If a write was sent to a home and no valid answer came back, the home may have run it, so "not
 * run" would be a false claim. From then on the write is sent with the retry flag, which tells
 * homes that an earlier attempt may have committed, until a home returns an outcome or the deadline
 * passes. In the latter case the outcome is unknown. A read may always be sent again.
 */
public final class Forwarder {
  /** Added to the timeout of a peer request: a home may answer as late as at the deadline. */
  private static final long ANSWER_MARGIN_MILLIS = 100;

  /** Pause after all homes were asked without an outcome. */
  private static final Duration ROUND_PAUSE = Duration.ofMillis(50);

  /** Rounds over all homes after which a request that cannot have run is refused. */
  private static final int ROUNDS_BEFORE_REFUSAL = 3;

  private static final long RETRY_AFTER_MILLIS = 500;

  private final String ownId;
  private final PeerNetwork peers;
  private final LocalHomes local;
  private final ControlThread control;
  private final EntryMetrics metrics;
  private final HomeSelector selector;

  /**
   * Creates a forwarder.
   *
   * @param local homes on this proxy, used without a peer request
   * @param random chooses among the homes
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

  /** Executes a request at one of its homes. If homes fail, the result is an outcome as well. */
  public CompletableFuture<Outcome> execute(ParsedWork work, FleetSnapshot fleet) {
    Execution execution = new Execution(work, fleet);
    execution.startRound();
    return execution.answer;
  }

  /**
   * The execution of one request. Each step starts the next one when it ends, so no two threads use
   * it at the same time and it needs no lock.
   */
  private final class Execution {
    private final WorkRequest request;
    private final long configVersion;
    private final FleetSnapshot fleet;
    private final CompletableFuture<Outcome> answer = new CompletableFuture<>();
    private List<Host> order = List.of();
    private int next;
    private int rounds;

    /** Whether an earlier attempt of this write may have run or may still run; never cleared. */
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
      if (known != null && !known.maybeSent()) {
        askNext();
      } else {
        homeLost();
      }
    }

    /** Asks the next home after one that may or may not have run the request. */
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
