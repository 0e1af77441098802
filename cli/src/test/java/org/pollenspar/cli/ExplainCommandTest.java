package org.pollenspar.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenspar.core.process.Closer;

/**
 * Guards against wrong exit codes, errors without a remedy, and answers of which a part is not
 * printed. Two HTTP servers answer as the readiness addresses of edge hosts.
 */
class ExplainCommandTest {
  private static final String HOME =
      """
      {"host": "h2", "domain": "b", "ready": true, "configuration_version": 7, "kind": "write",
       "database": "till", "homes": {"chosen": "h2", "reason": "THIS_HOST", "order": []},
       "databases": [{"id": "d1", "role": "replica", "domain": "b", "region": "", "part": 0.0,
         "can_answer": false, "obstacle": "NOT_THE_PRIMARY", "expected_ms": 1.5,
         "permit_needed": false, "refusal": null}],
       "chosen": null, "reason": null,
       "refusals": [{"code": "BUSY", "text": "database d0 is unreachable"}]}
      """;

  private final Closer closer = new Closer();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final List<String> requests = new ArrayList<>();
  private int status = 200;
  private String answer = HOME;
  private String host = "";

  @BeforeEach
  void start() throws IOException {
    String home = startHost(true);
    host = startHost(false);
    answer =
        """
        {"host": "h1", "domain": "a", "ready": true, "configuration_version": 7,
         "homes": {"chosen": "h2", "reason": "FAILING_AVOIDED", "order": [
           {"name": "h3", "domain": "a", "avoided": "SILENT"},
           {"name": "h2", "domain": "b", "avoided": null, "probes": "%s"}]}}
        """
            .formatted(home);
  }

  @AfterEach
  void close() {
    closer.close();
  }

  private String startHost(boolean home) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.createContext(
        "/pollenspar/explain",
        exchange -> {
          requests.add(exchange.getRequestURI().getRawQuery());
          byte[] body = (home ? HOME : answer).getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(home ? 200 : status, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
    closer.register(() -> server.stop(0));
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private int run(String... arguments) {
    return PollensparMain.run(
            arguments,
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8),
            Map.of())
        .number();
  }

  private String output() {
    return out.toString(StandardCharsets.UTF_8) + err.toString(StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @CsvSource({
    "--database till, --host and --database are required",
    "--host http://127.0.0.1:1, --host and --database are required",
    "--host ftp://x --database till, not of the form http://ADDRESS:PORT",
    "--host http://127.0.0.1:1 --database till --position 3, not of the form TERM.NUMBER",
  })
  void invalidOptionsAreNamedWithTheRemedy(String arguments, String expected) {
    assertEquals(2, run(("explain " + arguments).split(" ")), this::output);
    assertTrue(output().contains(expected), this::output);
  }

  @ParameterizedTest
  @CsvSource({"400, 2, add database=NAME", "404, 2, listen.probes", "503, 1, ask again in 1 s"})
  void refusedQuestionsHaveTheExitCodesOfOtherCommands(int http, int code, String expected) {
    status = http;
    answer = http == 503 ? "ask again in 1 s" : "add database=NAME";
    assertEquals(code, run("explain", "--host", "http://" + host, "--database", "till"));
    assertTrue(output().contains(expected), this::output);
  }

  @Test
  void followsTheChosenHomeAndPrintsBothAnswers() {
    String url = "http://" + host;
    assertEquals(
        0, run("explain", "--host", url, "--database", "a b", "--write", "--position", "1.2"));
    assertEquals(
        List.of("kind=write&database=a+b&position=1.2"), List.copyOf(requests).subList(0, 1));
    assertEquals(requests.get(0), requests.get(1));
    for (String part :
        List.of(
            "h2: failing avoided",
            "h3 (domain a), avoided: silent",
            "h2: this host",
            "no: not the primary",
            "refused       BUSY database d0 is unreachable")) {
      assertTrue(output().contains(part), this::output);
    }
    out.reset();
    assertEquals(0, run("explain", "--host", url, "--database", "till", "--json"));
    assertTrue(output().contains("\"home_answer\""), this::output);
  }

  @Test
  void withoutAnAddressOfTheHomeNoOtherHostIsAsked() {
    answer = answer.replace("probes", "other");
    assertEquals(0, run("explain", "--host", "http://" + host, "--database", "till"));
    assertEquals(1, requests.size());
    assertTrue(output().contains("ask the home"), this::output);
    assertFalse(output().contains("this host\n"), this::output);
  }
}
