package org.pollenspar.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.PollensparError;

/** Sends one request to a proxy, in the way callers do. */
@Parameters(commandDescription = "Send one request as a caller and print the answer")
final class RequestCommand implements Command {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(70);

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "SQL...")
  private List<String> statements = new ArrayList<>();

  @Parameter(
      names = "--platform",
      description = "Address of the platform, http://ADDRESS:PORT; default $POLLENSPAR_PLATFORM")
  private @Nullable String platform;

  @Parameter(
      names = "--url",
      description =
          "Address of a proxy's listener for callers, http://ADDRESS:PORT; default is the first"
              + " live proxy of the platform's host list")
  private @Nullable String url;

  @Parameter(names = "--group", description = "Database group")
  private String group = "";

  @Parameter(names = "--kind", description = "Kind of work")
  private String kind = "";

  @Parameter(names = "--key", description = "Idempotency key of a write")
  private @Nullable String key;

  @Parameter(
      names = "--retry",
      description = "Mark the request as a repetition of one with the same key that had no answer")
  private boolean retry;

  @Parameter(names = "--session", description = "Session token; default is a new session")
  private @Nullable String session;

  @Parameter(
      names = "--deadline-ms",
      description = "Deadline in milliseconds; default is that of the kind")
  private @Nullable Integer deadlineMillis;

  @Parameter(
      names = "--expect-rows",
      description = "Number of rows that each statement must affect, separated by commas")
  private List<Integer> expectedRows = new ArrayList<>();

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public ExitCode run(CliContext context) {
    // JCommander does not enforce required options in a command that has help options.
    if (group.isEmpty() || kind.isEmpty()) {
      throw CliContext.invalidOption("--group and --kind are required");
    }
    if (statements.isEmpty()) {
      throw CliContext.invalidOption("No SQL statement was given");
    }
    if (!expectedRows.isEmpty() && expectedRows.size() != statements.size()) {
      throw CliContext.invalidOption(
          "--expect-rows: got %d numbers for %d statements; give one per statement"
              .formatted(expectedRows.size(), statements.size()));
    }
    return proxyUri(context)
        .flatMap(this::send)
        .fold(
            context::reportError,
            answer -> {
              context.out().println(Json.pretty(answer));
              return exitCode(answer);
            });
  }

  private Either<PollensparError, URI> proxyUri(CliContext context) {
    if (url != null) {
      return Either.right(CliContext.httpUri("--url", url));
    }
    return context
        .platform(platform)
        .watch(0, Duration.ZERO)
        .map(list -> list.orElse(HostList.EMPTY))
        .flatMap(RequestCommand::firstProxy);
  }

  private static Either<PollensparError, URI> firstProxy(HostList list) {
    return list.live(HostRole.PROXY)
        .filter(host -> host.httpPort() > 0)
        .findFirst()
        .<Either<PollensparError, URI>>map(host -> Either.right(callerUri(host)))
        .orElseGet(
            () ->
                Either.left(
                    PollensparError.of(
                        ErrorKind.PEER_UNAVAILABLE,
                        "proxy",
                        "the host list has no live proxy with an HTTP port")));
  }

  private static URI callerUri(Host host) {
    return URI.create("http://" + host.address() + ":" + host.httpPort());
  }

  private Either<PollensparError, JsonNode> send(URI base) {
    HttpClient client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    if (session != null) {
      return post(client, base.resolve("/v1/work"), workRequest(session));
    }
    return post(client, base.resolve("/v1/sessions"), Json.MAPPER.createObjectNode())
        .flatMap(
            opened ->
                opened.path("session").isTextual()
                    ? post(
                        client,
                        base.resolve("/v1/work"),
                        workRequest(opened.path("session").asText()))
                    : Either.right(opened));
  }

  private ObjectNode workRequest(String token) {
    ObjectNode body = Json.MAPPER.createObjectNode();
    body.put("session", token).put("group", group).put("kind", kind);
    if (key != null) {
      body.put("key", key);
    }
    if (retry) {
      body.put("retry", true);
    }
    if (deadlineMillis != null) {
      body.put("deadline_ms", deadlineMillis);
    }
    var list = body.putArray("statements");
    for (int i = 0; i < statements.size(); i++) {
      ObjectNode statement = list.addObject().put("sql", statements.get(i));
      if (!expectedRows.isEmpty()) {
        statement.put("expect_rows", expectedRows.get(i));
      }
    }
    return body;
  }

  private static Either<PollensparError, JsonNode> post(
      HttpClient client, URI uri, ObjectNode body) {
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .timeout(REQUEST_TIMEOUT)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
            .build();
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      return Json.parse(uri.getAuthority(), response.body());
    } catch (IOException e) {
      return Either.left(
          PollensparError.of(ErrorKind.PEER_UNAVAILABLE, uri.getAuthority(), e.toString()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Either.left(
          PollensparError.of(ErrorKind.PEER_UNAVAILABLE, uri.getAuthority(), "interrupted"));
    }
  }

  private static ExitCode exitCode(JsonNode answer) {
    return switch (answer.path("outcome").asText()) {
      case "done" -> ExitCode.OK;
      case "unknown" -> ExitCode.UNKNOWN;
      default -> ExitCode.FAILED;
    };
  }
}
