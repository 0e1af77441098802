package org.pollenspar.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;

/**
 * Asks an edge host where a request would go now, and why, without sending it.
 *
 * <p>If another host is the home, that one is asked as well, provided that the answer contains the
 * address of its readiness probe.
 */
@Parameters(commandDescription = "Explain where a request would go now, without sending it")
final class ExplainCommand implements Command {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Pattern POSITION = Pattern.compile("\\d{1,18}\\.\\d{1,18}");

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(
      names = "--host",
      description = "Readiness address of an edge host (listen.probes), http://ADDRESS:PORT")
  private String host = "";

  @Parameter(names = "--database", description = "Database name that callers give")
  private String database = "";

  @Parameter(names = "--write", description = "The request writes; default is a read")
  private boolean write;

  @Parameter(
      names = "--organisation",
      description = "Name of the organisation whose caller sends it; never a key")
  private @Nullable String organisation;

  @Parameter(
      names = "--position",
      description = "Last commit of the session, TERM.NUMBER; default is none")
  private @Nullable String position;

  @Parameter(names = "--json", description = "Print the answer as JSON")
  private boolean json;

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public ExitCode run(CliContext context) {
    // JCommander does not enforce required options in a command that has help options.
    if (host.isEmpty() || database.isEmpty()) {
      throw CliContext.invalidOption("--host and --database are required");
    }
    if (position != null && !POSITION.matcher(position).matches()) {
      throw CliContext.invalidOption(
          "--position: \"" + position + "\" is not of the form TERM.NUMBER, for example 3.1042");
    }
    return ask(CliContext.httpUri("--host", host))
        .fold(context::reportError, answer -> print(context, answer));
  }

  private ExitCode print(CliContext context, JsonNode answer) {
    @Nullable String home = addressOfOtherHome(answer);
    if (home == null) {
      context.out().print(text(answer));
      return ExitCode.OK;
    }
    Either<PollensparError, JsonNode> ofHome =
        ask(CliContext.httpUri("answer of " + host, "http://" + home));
    if (json && answer instanceof ObjectNode object) {
      ofHome.forEach(found -> object.set("home_answer", found));
      context.out().print(text(object));
    } else {
      context.out().print(text(answer));
      ofHome.forEach(found -> context.out().print("\n" + text(found)));
    }
    return ofHome.fold(context::reportError, found -> ExitCode.OK);
  }

  private String text(JsonNode answer) {
    return json ? Json.pretty(answer) + "\n" : ExplanationText.of(answer);
  }

  /** Returns the address of the chosen home, if it is another host and the answer contains it. */
  private static @Nullable String addressOfOtherHome(JsonNode answer) {
    String chosen = answer.at("/homes/chosen").asText();
    if (chosen.equals(answer.path("host").asText())) {
      return null;
    }
    for (JsonNode home : answer.at("/homes/order")) {
      if (home.path("name").asText().equals(chosen) && home.path("probes").isTextual()) {
        return home.path("probes").asText();
      }
    }
    return null;
  }

  private Either<PollensparError, JsonNode> ask(URI base) {
    StringBuilder path =
        new StringBuilder("/pollenspar/explain?kind=" + (write ? "write" : "read"));
    parameter(path, "database", database);
    parameter(path, "organisation", organisation);
    parameter(path, "position", position);
    URI uri = base.resolve(path.toString());
    HttpClient client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();
    try {
      HttpResponse<String> response =
          client.send(
              HttpRequest.newBuilder(uri).timeout(TIMEOUT).build(),
              HttpResponse.BodyHandlers.ofString());
      return switch (response.statusCode()) {
        case 200 -> Json.parse(uri.getAuthority(), response.body());
        case 400 ->
            Either.left(PollensparError.of(ErrorKind.INVALID_OPTION, response.body().strip()));
        case 404 ->
            Either.left(
                PollensparError.of(
                    ErrorKind.INVALID_OPTION,
                    "--host: "
                        + uri.getAuthority()
                        + " explains nothing; give the address listen.probes of an edge host"));
        default ->
            unavailable(uri, "HTTP " + response.statusCode() + ": " + response.body().strip());
      };
    } catch (IOException e) {
      return unavailable(uri, e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return unavailable(uri, "interrupted");
    }
  }

  private static void parameter(StringBuilder path, String name, @Nullable String value) {
    if (value != null) {
      path.append('&')
          .append(name)
          .append('=')
          .append(URLEncoder.encode(value, StandardCharsets.UTF_8));
    }
  }

  private static Either<PollensparError, JsonNode> unavailable(URI uri, String why) {
    return Either.left(PollensparError.of(ErrorKind.PEER_UNAVAILABLE, uri.getAuthority(), why));
  }
}
