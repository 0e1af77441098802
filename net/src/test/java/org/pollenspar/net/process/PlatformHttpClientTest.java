package org.pollenspar.net.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.net.request.HttpCall;
import org.pollenspar.net.request.HttpReply;

/**
 * Guards against requests that the platform does not understand and against misread responses:
 * paths, field names, and the meaning of each status.
 */
class PlatformHttpClientTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final CompletableFuture<HttpCall> seen = new CompletableFuture<>();
  private CompletionStage<HttpReply> reply = new CompletableFuture<>();
  private final HttpService service =
      new HttpService(
          "platform",
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          1 << 20,
          TIMEOUT,
          1,
          call -> {
            seen.complete(call);
            return reply;
          });
  private final PlatformHttpClient client;

  PlatformHttpClientTest() {
    service.start();
    client = new PlatformHttpClient(URI.create("http://127.0.0.1:" + service.port() + "/"));
  }

  @AfterEach
  void stop() {
    service.close();
  }

  private Either<PollensparError, ?> call(String operation, Duration timeout) {
    return switch (operation) {
      case "read" -> client.read("pollenspar/a b", timeout);
      case "watch" -> client.watch("k", 7, Duration.ofMillis(50));
      case "swap" -> client.compareAndSwap("k", "v", 3, Optional.of("l"), timeout);
      case "lease" -> client.createLease(Duration.ofSeconds(2), timeout);
      case "hosts" -> client.watch(7, Duration.ofMillis(50));
      case "status" -> client.status("g", timeout);
      case "fence" -> client.fence("g", 4, "me", timeout);
      case "promote" -> client.promote("g", 4, "me", "d1", timeout);
      default -> throw new IllegalArgumentException(operation);
    };
  }

  private static final String MEMBER =
      "{\"id\":\"d1\",\"fenced_term\":4,\"log_term\":3,\"offset\":9}";

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "read | GET /kv/pollenspar/a b {} | 200 | {\"value\":\"v\",\"revision\":3}"
            + " | Optional[StoredValue[value=v, revision=3]]",
        "read | GET /kv/pollenspar/a b {} | 404 | {} | Optional.empty",
        "read | GET /kv/pollenspar/a b {} | 503 | down | PLATFORM_UNAVAILABLE",
        "read | GET /kv/pollenspar/a b {} | 200 | {\"value\":\"v\"} | PLATFORM_UNAVAILABLE",
        "read | GET /kv/pollenspar/a b {} | 200 | {\"value\":1,\"revision\":3} |"
            + " PLATFORM_UNAVAILABLE",
        "read | GET /kv/pollenspar/a b {} | 200 | <html> | PLATFORM_UNAVAILABLE",
        "read | GET /kv/pollenspar/a b {} | 400 | {} | PLATFORM_REFUSED",
        "watch | GET /kv/k {after=7, wait_ms=50} | 200 | {\"value\":\"v\",\"revision\":8}"
            + " | Optional[StoredValue[value=v, revision=8]]",
        "watch | GET /kv/k {after=7, wait_ms=50} | 200 | {\"value\":\"v\",\"revision\":7}"
            + " | Optional.empty",
        "swap | PUT /kv/k {} {\"value\":\"v\",\"expected_revision\":3,\"lease\":\"l\"} | 200"
            + " | {\"revision\":4} | SwapResult[applied=true, revision=4]",
        "swap | PUT /kv/k {} {\"value\":\"v\",\"expected_revision\":3,\"lease\":\"l\"} | 409"
            + " | {\"revision\":9} | SwapResult[applied=false, revision=9]",
        "lease | POST /leases {} {\"ttl_ms\":2000} | 200 | {\"lease\":\"l\"} | l",
        "hosts | GET /hosts {after=7, wait_ms=50} | 200 | {\"revision\":8,\"hosts\":[]}"
            + " | Optional[HostList[revision=8, hosts=[]]]",
        "hosts | GET /hosts {after=7, wait_ms=50} | 200 | {\"revision\":7,\"hosts\":[]}"
            + " | Optional.empty",
        "status | GET /groups/g {} | 200"
            + " | {\"group\":\"g\",\"term\":3,\"primary\":null,\"members\":[]}"
            + " | GroupStatus[group=g, term=3, primary=Optional.empty, databases=[]]",
        "fence | POST /groups/g/fence {} {\"term\":4,\"owner\":\"me\"} | 200"
            + " | {\"fenced\":["
            + MEMBER
            + "]} | [GroupDatabaseStatus[id=d1, address=, port=0, reachable=true, fencedTerm=4,"
            + " logTerm=3, offset=9]]",
        "fence | POST /groups/g/fence {} {\"term\":4,\"owner\":\"me\"} | 409 | {}"
            + " | PLATFORM_REFUSED",
        "promote | POST /groups/g/promote {} {\"term\":4,\"owner\":\"me\",\"database\":\"d1\"}"
            + " | 200 | {} | true",
        "promote | POST /groups/g/promote {} {\"term\":4,\"owner\":\"me\",\"database\":\"d1\"}"
            + " | 409 | {} | PLATFORM_REFUSED",
      })
  void translatesCallsAndAnswers(
      String operation, String request, int status, String body, String expected) {
    reply = CompletableFuture.completedFuture(HttpReply.json(status, body));
    Either<PollensparError, ?> result = call(operation, TIMEOUT);
    assertEquals(
        expected, result.fold(error -> error.kind().name(), value -> String.valueOf(value)));
    HttpCall call = seen.join();
    String text = call.method() + " " + call.path() + " " + call.query() + " " + call.body();
    assertEquals(request, text.strip());
  }

  @Test
  void aMissingAnswerIsReportedWithTheTimeout() {
    var result = call("swap", Duration.ofMillis(50));
    assertTrue(result.getLeft().message().contains("no answer within 50 ms"), result.toString());
  }

  @Test
  void aPlatformThatIsDownIsUnavailable() {
    service.close();
    assertEquals("PLATFORM_UNAVAILABLE", call("status", TIMEOUT).getLeft().kind().name());
  }
}
