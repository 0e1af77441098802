package org.pollenspar.proxy.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenspar.core.connection.SessionToken;
import org.pollenspar.core.connection.TokenCodec;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.version.FleetFile;
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

  private HttpReply post(Optional<FleetVersion> version, String body) {
    CallerHandler handler =
        new CallerHandler(
            () -> new FleetSnapshot(version, HostList.EMPTY),
            Optional::empty,
            new WorkParser(codec, () -> "generated"),
            new ReplyWriter(codec),
            null,
            control,
            new EntryMetrics(new MetricRegistry()),
            () -> "session",
            Runnable::run);
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
      HttpReply reply = post(version, body);
      assertEquals(status, reply.status(), reply.body());
      assertTrue(reply.body().contains("\"outcome\":\"" + outcome + "\""), reply.body());
    }
  }
}
