package org.pollenspar.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenspar.core.process.Closer;
import org.pollenspar.standin.process.PlatformStandin;
import org.pollenspar.standin.process.Topology;

/**
 * Guards the subcommands against wrong exit codes and messages. They run against the platform
 * stand-in and two HTTP servers that answer as the admin listeners of proxies.
 */
class PollensparMainTest {
  private static final Path EXAMPLE = Path.of("../examples/vale-lector.toml");

  @TempDir Path directory;
  private final Closer closer = new Closer();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final List<String> statuses = new ArrayList<>();
  private String platform = "";

  @BeforeEach
  void start() throws IOException {
    StringBuilder topology = new StringBuilder();
    for (int i = 1; i <= 2; i++) {
      statuses.add(status(i, 0));
      topology.append(
          """
          [[hosts]]
          id = "p%d"
          address = "127.0.0.1"
          peer_port = 1
          http_port = 1
          admin_port = %d
          domain = "d"
          region = "r"
          role = "proxy"
          state = "live"
          """
              .formatted(i, startAdminServer(i - 1)));
    }
    Path file = Files.writeString(directory.resolve("topology.toml"), topology);
    PlatformStandin standin =
        closer.register(
            new PlatformStandin(new InetSocketAddress("127.0.0.1", 0), Topology.read(file)));
    platform = "http://127.0.0.1:" + standin.port();
  }

  @AfterEach
  void close() {
    closer.close();
  }

  private static String status(int process, long version) {
    return """
    {"process": "p%d", "state": "serving", "config_version": %d,
     "invariants": {"P1": {"checks": 5, "violations": 0}},
     "groups": {"ledger-1": {"primary": "l%d", "term": %d, "parked": 1,
      "primary_queue": {"order": 1}, "replica_queue": {"lookup": 2}}}}
    """
        .formatted(process, version, process, process);
  }

  /** Starts a server that answers as the admin listener of a process; returns its port. */
  private int startAdminServer(int index) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.createContext(
        "/",
        exchange -> {
          String line =
              "{\"stamp\": %d, \"process\": \"p%d\", \"kind\": \"k\"}".formatted(9 - index, index);
          boolean timeline = exchange.getRequestURI().getPath().equals("/timeline");
          byte[] body = (timeline ? line : statuses.get(index)).getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
    closer.register(() -> server.stop(0));
    return server.getAddress().getPort();
  }

  private int run(String... arguments) {
    out.reset();
    err.reset();
    return PollensparMain.run(
            arguments,
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8),
            Map.of(CliContext.PLATFORM_VARIABLE, platform))
        .number();
  }

  private String output() {
    return out.toString(StandardCharsets.UTF_8) + err.toString(StandardCharsets.UTF_8);
  }

  private void setFaults(String json) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(platform + "/admin/faults"))
            .version(HttpClient.Version.HTTP_1_1)
            .POST(HttpRequest.BodyPublishers.ofString(json))
            .build();
    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
  }

  @ParameterizedTest
  @CsvSource({
    "2, 601, ''",
    "2, 601, nonsense",
    "2, 601, check",
    "2, 601, check --nonsense x",
    "2, 501, check missing.toml",
    "2, 601, status --platform ftp://x",
    "2, 601, status --admin nonsense",
    "2, 601, apply ../examples/vale-lector.toml --wait-s -1",
    "2, 601, request --group g --kind k",
    "2, 601, request select",
    "1, 701, status --platform http://127.0.0.1:1",
    "1, 703, status --admin 127.0.0.1:1",
    "0, Options, --help",
    "0, pollenspar, --version",
    "0, --author, apply --help",
    "0, pollenspar, diff --version",
    "0, Exit codes, request --help",
    "0, deadline_ms, check --reference",
    "0, 3 groups, check ../examples/vale-lector.toml",
    "0, 3 groups, check ../examples/aridos.toml",
  })
  void exitCodeAndMessage(int code, String expected, String arguments) {
    assertEquals(code, arguments.isEmpty() ? run() : run(arguments.split(" ")), this::output);
    assertTrue(output().contains(expected), this::output);
  }

  @Test
  void applyWaitsForAllProxiesAndNamesThoseThatDoNotReport() {
    assertEquals(4, run("apply", EXAMPLE.toString(), "--wait-s", "1"), this::output);
    assertTrue(output().contains("not yet reported by: p1, p2"), this::output);
    statuses.set(0, status(1, 1));
    assertEquals(4, run("apply", EXAMPLE.toString(), "--wait-s", "1"), this::output);
    assertTrue(output().contains("not yet reported by: p2."), this::output);
    statuses.set(1, status(2, 1));
    assertEquals(0, run("apply", EXAMPLE.toString()), this::output);
    assertTrue(output().contains("Version 1 is in force on 2 proxies"), this::output);
  }

  @Test
  void applyResolvesALostAnswerOfThePlatform() throws Exception {
    setFaults("{\"kv_lost_answers\": 1}");
    assertEquals(0, run("apply", EXAMPLE.toString(), "--wait-s", "0"), this::output);
    assertTrue(output().contains("Version 1 is accepted"), this::output);
  }

  @Test
  void diffShowsWhatWouldChange() throws IOException {
    assertEquals(0, run("apply", EXAMPLE.toString(), "--wait-s", "0"), this::output);
    String text = Files.readString(EXAMPLE).replace("staleness_ms = 2000", "staleness_ms = 500");
    Path changed = Files.writeString(directory.resolve("changed.toml"), text);
    assertEquals(0, run("diff", changed.toString()), this::output);
    assertTrue(output().contains("~ kinds.balance-lookup.staleness_ms: 2000 -> 500"));
    assertEquals(3, run("apply", changed.toString(), "--base", "7", "--wait-s", "0"));
    assertEquals(0, run("diff", EXAMPLE.toString()));
    assertTrue(output().contains("means the same"), this::output);
  }

  @Test
  void statusShowsViolationsAndThePrimaryOfTheHighestTerm() {
    assertEquals(0, run("status"), this::output);
    assertTrue(
        output().matches("(?s).*ledger-1 +l2 +2 +lookup:4 order:2 parked:2 +p1 p2.*"),
        this::output);
    statuses.set(0, "{\"invariants\": {\"P2\": {\"violations\": 3}}}");
    assertEquals(1, run("status"));
    assertTrue(output().contains("P2:3"), this::output);
    assertEquals(1, run("status", "--json"));
    assertTrue(output().contains("\"healthy\" : false"), this::output);
  }

  @Test
  void timelineOrdersByStampAndWritesAPage() throws IOException {
    assertEquals(0, run("timeline"), this::output);
    assertTrue(output().indexOf("p1 ") < output().indexOf("p0 "), this::output);
    Path page = directory.resolve("t.html");
    assertEquals(0, run("timeline", "--html", page.toString()), this::output);
    assertTrue(Files.readString(page).contains("<svg"));
  }
}
