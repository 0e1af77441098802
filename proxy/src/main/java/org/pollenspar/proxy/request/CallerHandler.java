package org.pollenspar.proxy.request;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.pollenspar.core.connection.SessionToken;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.version.FleetVersion;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.net.request.HttpCall;
import org.pollenspar.net.request.HttpHandler;
import org.pollenspar.net.request.HttpReply;
import org.pollenspar.proxy.process.FleetSnapshot;

/**
 * Handles the HTTP requests of callers: {@code POST /v1/sessions} opens a session, {@code POST
 * /v1/work} executes statements. Safe for use by several threads.
 *
 * <p>A refusal normally says "not run". The retry of a keyed write is an exception: an earlier
 * attempt may have committed or may still run, here or at another proxy. Until a home has looked
 * the key up, the outcome of such a request is unknown.
 */
public final class CallerHandler implements HttpHandler {
  private static final String SESSIONS = "/v1/sessions";
  private static final String WORK = "/v1/work";
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final Supplier<FleetSnapshot> fleet;
  private final Supplier<Optional<PollensparError>> refusal;
  private final WorkParser parser;
  private final ReplyWriter writer;
  private final Forwarder forwarder;
  private final ControlThread control;
  private final EntryMetrics metrics;
  private final Supplier<String> newSessionId;
  private final Executor replyExecutor;
  private final AtomicLong requestIds = new AtomicLong();
  private final AtomicInteger running = new AtomicInteger();

  /**
   * Creates the handler.
   *
   * @param fleet returns the current configuration version and host list
   * @param refusal returns why this proxy accepts no new requests; empty if it does
   * @param replyExecutor builds replies, to keep that work off the control thread
   */
  public CallerHandler(
      Supplier<FleetSnapshot> fleet,
      Supplier<Optional<PollensparError>> refusal,
      WorkParser parser,
      ReplyWriter writer,
      Forwarder forwarder,
      ControlThread control,
      EntryMetrics metrics,
      Supplier<String> newSessionId,
      Executor replyExecutor) {
    this.fleet = fleet;
    this.refusal = refusal;
    this.parser = parser;
    this.writer = writer;
    this.forwarder = forwarder;
    this.control = control;
    this.metrics = metrics;
    this.newSessionId = newSessionId;
    this.replyExecutor = replyExecutor;
  }

  @Override
  public CompletionStage<HttpReply> handle(HttpCall call) {
    if (!call.method().equals("POST")) {
      return refuse(
          PollensparError.of(ErrorKind.NO_SUCH_ENDPOINT, call.method() + " " + call.path()), 0);
    }
    return switch (call.path()) {
      case SESSIONS -> openSession();
      case WORK -> handleWork(call.body());
      default -> refuse(PollensparError.of(ErrorKind.NO_SUCH_ENDPOINT, call.path()), 0);
    };
  }

  private CompletionStage<HttpReply> openSession() {
    metrics.sessionOpened();
    SessionToken session = new SessionToken(newSessionId.get(), Map.of());
    return CompletableFuture.completedFuture(writer.session(session));
  }

  private CompletionStage<HttpReply> handleWork(String body) {
    long arrival = control.nowNanos();
    FleetSnapshot current = fleet.get();
    Optional<FleetVersion> version = current.version();
    if (version.isEmpty()) {
      return refuseBody(body, PollensparError.of(ErrorKind.NOT_CONFIGURED), RETRY_AFTER_MILLIS);
    }
    Either<PollensparError, ParsedWork> parsed =
        parser.parse(body, version.get(), requestIds.incrementAndGet(), arrival);
    return parsed.fold(error -> refuseBody(body, error, 0), work -> execute(work, current));
  }

  /** Refuses a body that is invalid or cannot be checked; a retried write may run or be done. */
  private CompletionStage<HttpReply> refuseBody(
      String body, PollensparError error, long retryAfterMillis) {
    if (!parser.claimsRetry(body)) {
      return refuse(error, retryAfterMillis);
    }
    metrics.refused(error.kind());
    return CompletableFuture.completedFuture(writer.unknown(error));
  }

  /** Refuses a request that this proxy does not accept now; a retried write may run elsewhere. */
  private CompletionStage<HttpReply> refuse(ParsedWork work, PollensparError error) {
    if (!work.request().retry()) {
      return refuse(error, RETRY_AFTER_MILLIS);
    }
    metrics.refused(error.kind());
    String key = work.request().key().orElse("");
    Outcome unknown = new Outcome.Unknown(PollensparError.of(ErrorKind.OUTCOME_UNKNOWN, key));
    return CompletableFuture.completedFuture(writer.reply(work, unknown));
  }

  private CompletionStage<HttpReply> execute(ParsedWork work, FleetSnapshot current) {
    // Counted before the check, so that a drain that finds none running has refused all others.
    running.incrementAndGet();
    Optional<PollensparError> refused = refusal.get();
    if (refused.isPresent()) {
      running.decrementAndGet();
      return refuse(work, refused.get());
    }
    return forwarder
        .execute(work, current)
        .thenApplyAsync(
            outcome -> {
              long nanos = control.nowNanos() - work.request().arrivalNanos();
              metrics.answered(work.request().kind().rank(), outcome, nanos);
              return writer.reply(work, outcome);
            },
            replyExecutor)
        .whenComplete((reply, failure) -> running.decrementAndGet());
  }

  private CompletionStage<HttpReply> refuse(PollensparError error, long retryAfterMillis) {
    metrics.refused(error.kind());
    return CompletableFuture.completedFuture(writer.notRun(error, retryAfterMillis));
  }

  /** Returns the number of requests of callers that are not answered yet. */
  public int running() {
    return running.get();
  }
}
