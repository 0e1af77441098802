package org.pollenspar.net.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.core.process.TimelineEvent;
import org.pollenspar.net.request.HttpCall;
import org.pollenspar.net.request.HttpReply;

/**
 * The HTTP listener for operators: {@code /status}, {@code /metrics}, {@code /timeline}, {@code
 * /health}.
 */
public final class AdminService implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 1024;
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
  private static final int THREADS = 1;

  private final Supplier<CompletionStage<? extends JsonNode>> status;
  private final BooleanSupplier serving;
  private final MetricsText metrics;
  private final Timeline timeline;
  private final HttpService http;

  /**
   * Prepares the listener; {@link #start} opens the socket.
   *
   * @param address IP address and port
   * @param status the answer to {@code /status}
   * @param serving whether {@code /health} answers 200, else 503; false while the process starts or
   *     drains
   * @param metrics the answer to {@code /metrics}
   * @param timeline the events of {@code /timeline}
   */
  public AdminService(
      InetSocketAddress address,
      Supplier<CompletionStage<? extends JsonNode>> status,
      BooleanSupplier serving,
      MetricsText metrics,
      Timeline timeline) {
    this.status = status;
    this.serving = serving;
    this.metrics = metrics;
    this.timeline = timeline;
    this.http =
        new HttpService("admin", address, MAX_BODY_BYTES, READ_TIMEOUT, THREADS, this::answer);
  }

  /** Opens the socket. */
  public void start() {
    http.start();
  }

  public int port() {
    return http.port();
  }

  private CompletionStage<HttpReply> answer(HttpCall call) {
    return switch (call.path()) {
      case "/status" -> status.get().thenApply(node -> HttpReply.json(200, node + "\n"));
      case "/metrics" -> done(HttpReply.text(200, metrics.write()));
      case "/timeline" -> done(timeline(call));
      case "/health" ->
          done(
              serving.getAsBoolean()
                  ? HttpReply.text(200, "serving\n")
                  : HttpReply.text(503, "not serving\n"));
      default -> done(error(ErrorKind.NO_SUCH_ENDPOINT, call.path()));
    };
  }

  private HttpReply timeline(HttpCall call) {
    String after = call.query().getOrDefault("after", "0");
    long stamp;
    try {
      stamp = Long.parseLong(after);
    } catch (NumberFormatException e) {
      return error(ErrorKind.INVALID_FIELD, "after", "\"" + after + "\" is not a stamp");
    }
    String lines =
        timeline.snapshot().stream()
            .filter(event -> event.stamp() > stamp)
            .map(AdminService::line)
            .collect(Collectors.joining());
    return new HttpReply(200, "application/x-ndjson", java.util.Map.of(), lines);
  }

  private static String line(TimelineEvent event) {
    return JsonNodeFactory.instance
            .objectNode()
            .put("stamp", event.stamp())
            .put("process", event.process())
            .put("kind", event.kind())
            .put("subject", event.subject())
            .put("detail", event.detail())
        + "\n";
  }

  private static HttpReply error(ErrorKind kind, Object... arguments) {
    var root = JsonNodeFactory.instance.objectNode();
    root.putObject("error")
        .put("number", kind.number())
        .put("name", kind.name())
        .put("message", kind.message(arguments));
    return HttpReply.json(kind.httpStatus(), root + "\n");
  }

  private static CompletionStage<HttpReply> done(HttpReply reply) {
    return CompletableFuture.completedFuture(reply);
  }

  @Override
  public void close() {
    http.close();
  }
}
