package org.pollenspar.proxy.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.DynamicTest.dynamicTest;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.connection.SessionToken;
import org.pollenspar.core.connection.TokenCodec;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.WorkRequest;
import org.pollenspar.core.version.FleetFileParser;
import org.pollenspar.core.version.FleetVersion;

/**
 * Guards against accepting an invalid request, and against error messages that do not name the
 * field or the remedy. The table of refused bodies is in {@code bad-input.toml}.
 */
class WorkParserTest {
  private static final String FILE =
      """
      deployment = "Vale"
      max_statements = 2
      [ranks.urgent]
      level = 1
      [ranks.bulk]
      level = 3
      [kinds.redeem]
      rank = "urgent"
      access = "write"
      deadline_ms = 800
      [kinds.order]
      rank = "bulk"
      access = "write"
      repeatable = true
      [kinds.balance]
      rank = "bulk"
      access = "read"
      deadline_ms = 900
      [groups.ledger-1]
      databases = ["a", "b", "c"]
      connections_per_database = 30
      """;
  private static final long NOW = 5_000_000_000L;

  private final TokenCodec codec =
      new TokenCodec("sixteen bytes and more".getBytes(StandardCharsets.UTF_8));
  private final WorkParser parser = new WorkParser(codec, () -> "generated");
  private final FleetVersion version =
      new FleetVersion(7, new FleetFileParser().parse("f.toml", FILE).get());

  @TestFactory
  Stream<DynamicTest> refusals() throws IOException {
    try (InputStream in = WorkParserTest.class.getResourceAsStream("bad-input.toml")) {
      return new TomlMapper()
          .readTree(in)
          .path("row")
          .valueStream()
          .map(row -> dynamicTest(row.path("name").textValue(), () -> checkRefusal(row)));
    }
  }

  private void checkRefusal(JsonNode row) {
    PollensparError error =
        parser.parse(body(row.path("body").textValue()), version, 1, NOW).getLeft();
    assertEquals(row.path("expect").intValue(), error.kind().number(), error.message());
    String part = row.path("part").textValue();
    assertTrue(error.message().contains(part), () -> error.message() + " lacks " + part);
  }

  private String body(String text) {
    return text.replace("TOKEN", codec.encode(new SessionToken("s", Map.of())));
  }

  private WorkRequest accepted(String text) {
    return parser.parse(body(text), version, 1, NOW).get().request();
  }

  /** Bodies that are accepted, and the values that they inherit from the configuration. */
  @Nested
  class Accepted {
    @Test
    void rankAndDeadlineComeFromTheFile() {
      WorkRequest request =
          accepted(
              "{\"session\": \"TOKEN\", \"group\": \"ledger-1\", \"kind\": \"redeem\", \"key\":"
                  + " \"k\", \"statements\": [{\"sql\": \"UPDATE t SET a = a - 1 WHERE b ="
                  + " 'x''y;'\", \"expect_rows\": 1}]}");
      assertEquals("urgent", request.kind().rank().name());
      assertEquals(Optional.of("k"), request.key());
      assertEquals(TimeUnit.MILLISECONDS.toNanos(800), request.remainingNanos(NOW));
      assertEquals(1, request.statements().get(0).expectedRows());
    }

    @Test
    void repeatableWriteReceivesAKey() {
      WorkRequest request =
          accepted(
              "{\"session\": \"TOKEN\", \"group\": \"ledger-1\", \"kind\": \"order\","
                  + " \"statements\": [{\"sql\": \"DELETE FROM t\"}]}");
      assertEquals(Optional.of("generated"), request.key());
    }

    @Test
    void largestPositionOfSeveralTokensCounts() {
      SessionToken one = new SessionToken("s", Map.of("ledger-1", new Position(2, 9)));
      SessionToken two = new SessionToken("s", Map.of("ledger-1", new Position(3, 4)));
      String body =
          "{\"session\": [\"%s\", \"%s\"], \"group\": \"ledger-1\", \"kind\": \"balance\","
              + " \"statements\": [{\"sql\": \"SELECT a FROM t\"}]}";
      WorkRequest request = accepted(body.formatted(codec.encode(one), codec.encode(two)));
      assertEquals(new Position(3, 4), request.sessionPosition());
      assertEquals(Optional.empty(), request.key());
    }
  }
}
