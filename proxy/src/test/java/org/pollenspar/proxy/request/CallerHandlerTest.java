package org.pollenspar.proxy.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenspar.core.connection.SessionToken;
import org.pollenspar.core.connection.TokenCodec;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.version.FleetFile;
import org.pollenspar.core.version.FleetFileParser;
import org.pollenspar.core.version.FleetVersion;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.net.request.HttpCall;
import org.pollenspar.net.request.HttpReply;
import org.pollenspar.proxy.process.FleetSnapshot;

/** Guards against refusals at the entry that claim "not run" for a write that may have run. */
class CallerHandlerTest {
  private static final FleetFile EMPTY_FILE =
      new FleetFile("test", Map.of(), Map.of(), Map.of(), 24, 32);

  private final ControlThread control = new ControlThread("control", e -> {});
  private final TokenCodec codec =
      new TokenCodec("0123456789abcdef0123456789abcdef".getBytes(StandardCharsets.UTF_8));

  @AfterEach
  void close() {
    control.close();
  }

  private CallerHandler handler(
      Optional<FleetVersion> version, Supplier<Optional<PollensparError>> refusal) {
    return new CallerHandler(
        () -> new FleetSnapshot(version, HostList.EMPTY),
        refusal,
        new WorkParser(codec, () -> "generated"),
        new ReplyWriter(codec),
        null,
        control,
        new EntryMetrics(new MetricRegistry()),
        () -> "session",
        Runnable::run);
  }

  private static HttpReply post(CallerHandler handler, String body) {
    return handler
        .handle(new HttpCall("POST", "/v1/work", Map.of(), body))
        .toCompletableFuture()
        .join();
  }

  /**
   * The failure: the first attempt of a write may have committed. The caller retries it at a proxy
   * that has no configuration yet, or after the kind of work was removed, and is told "not run"
   * although no home has looked the key up.
   */
  @Nested
  class BeforeTheKeyIsLookedUp {

    @ParameterizedTest
    @CsvSource({
      "false, false, 503, not_run",
      "false, true, 504, unknown",
      "true, false, 404, not_run",
      "true, true, 504, unknown",
    })
    void refusalsOfRetriesLeaveTheOutcomeOpen(
        boolean configured, boolean retry, int status, String outcome) {
      Optional<FleetVersion> version =
          configured ? Optional.of(new FleetVersion(1, EMPTY_FILE)) : Optional.empty();
      String body =
          "{\"session\": \""
              + codec.encode(new SessionToken("session", Map.of()))
              + "\", \"group\": \"g\", \"kind\": \"removed\", \"key\": \"k\", \"retry\": "
              + retry
              + ", \"statements\": [{\"sql\": \"DELETE FROM t\"}]}";
      HttpReply reply = post(handler(version, Optional::empty), body);
      assertEquals(status, reply.status(), reply.body());
      assertTrue(reply.body().contains("\"outcome\":\"" + outcome + "\""), reply.body());
    }
  }

  /**
   * The failure: a thread has passed the check for draining but has not counted its request yet.
   * The drain finds no request in progress, and the exit of the process cuts this one off.
   */
  @Nested
  class WhileDraining {

    @Test
    void aRequestIsCountedBeforeTheCheck() {
      FleetFile file =
          new FleetFileParser()
              .parse(
                  "f.toml",
                  """
                  deployment = "Vale"
                  [ranks.urgent]
                  level = 1
                  [kinds.redeem]
                  rank = "urgent"
                  access = "write"
                  [groups.ledger-1]
                  databases = ["a", "b", "c"]
                  connections_per_database = 30
                  """)
              .get();
      CallerHandler[] handler = {null};
      int[] countedAtCheck = {0};
      handler[0] =
          handler(
              Optional.of(new FleetVersion(1, file)),
              () -> {
                countedAtCheck[0] = handler[0].running();
                return Optional.of(PollensparError.of(ErrorKind.DRAINING));
              });
      String body =
          "{\"session\": \""
              + codec.encode(new SessionToken("session", Map.of()))
              + "\", \"group\": \"ledger-1\", \"kind\": \"redeem\", \"key\": \"k\","
              + " \"statements\": [{\"sql\": \"DELETE FROM t\"}]}";
      HttpReply reply = post(handler[0], body);
      assertEquals(503, reply.status(), reply.body());
      assertEquals(1, countedAtCheck[0]);
      assertEquals(0, handler[0].running());
    }
  }
}
