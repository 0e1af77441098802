package org.pollenspar.net.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.ErrorReporter;
import org.pollenspar.core.process.HybridClock;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.core.process.Timeline;

/** Guards against changes of the formats that operators' tools read. */
class AdminServiceTest {
  private final Timeline timeline = new Timeline("p1", new HybridClock(() -> 1), 10);
  private final ErrorReporter errors = new ErrorReporter(List.of());
  private final InvariantChecker invariants = new InvariantChecker(errors, timeline);
  private final MetricRegistry registry = new MetricRegistry();
  private boolean serving = true;
  private final AdminService service =
      new AdminService(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          () ->
              CompletableFuture.completedFuture(JsonNodeFactory.instance.objectNode().put("a", 1)),
          () -> serving,
          new MetricsText(registry, errors, invariants),
          timeline);

  AdminServiceTest() {
    service.start();
    timeline.record("k", "s", "first");
    timeline.record("k", "s", "second \"quoted\"");
  }

  @AfterEach
  void stop() {
    service.close();
  }

  private HttpResponse<String> ask(String path) throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + service.port() + path);
    return HttpClient.newHttpClient()
        .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "/status | 200 | {\"a\":1}",
        "/health | 200 | serving",
        "/timeline?after=65536 | 200 | {\"stamp\":65537,\"process\":\"p1\",\"kind\":\"k\","
            + "\"subject\":\"s\",\"detail\":\"second \\\"quoted\\\"\"}",
        "/timeline?after=65537 | 200 | ``",
        "/timeline?after=x | 400 | {\"error\":{\"number\":102,\"name\":\"INVALID_FIELD\","
            + "\"message\":\"Field \\\"after\\\" is invalid: \\\"x\\\" is not a stamp. Correct the"
            + " field and send again.\"}}",
      })
  void endpointsAnswer(String path, int status, String body) throws Exception {
    HttpResponse<String> response = ask(path);
    assertEquals(status + " " + body, response.statusCode() + " " + response.body().strip());
  }

  @Test
  void healthReportsAProcessThatDoesNotServe() throws Exception {
    serving = false;
    assertEquals(503, ask("/health").statusCode());
    assertEquals(404, ask("/other").statusCode());
  }

  @Test
  void metricsHoldRegistryErrorsAndInvariants() throws Exception {
    registry.counter("queue.length").inc(3);
    registry.meter("requests").mark();
    registry.timer("probe").update(2, TimeUnit.SECONDS);
    registry.gauge("threads", () -> () -> 7);
    errors.report(ErrorKind.DRAINING);
    invariants.check(Invariant.AT_MOST_ONCE, false, () -> "twice");
    String text = ask("/metrics").body();
    for (String line :
        List.of(
            "pollenspar_queue_length 3",
            "pollenspar_requests_total 1",
            "pollenspar_probe_seconds{quantile=\"0.5\"} 2.0",
            "pollenspar_probe_seconds_count 1",
            "pollenspar_threads 7",
            "pollenspar_errors_total{number=\"305\",kind=\"draining\"} 1",
            "pollenspar_invariant_violations_total{promise=\"P6\"} 1")) {
      assertTrue(text.contains("\n" + line + "\n") || text.startsWith(line + "\n"), line);
    }
  }
}
