package org.pollenspar.cli;

import io.vavr.control.Either;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;

/** Sends the same request to the admin listeners of several processes in parallel. */
final class AdminClient {
  private final HttpClient client;
  private final Duration timeout;

  AdminClient(Duration timeout) {
    this.timeout = timeout;
    this.client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(timeout)
            .build();
  }

  /** Requests a path from every target. The answers are in the order of the targets. */
  Map<Target, Either<PollensparError, String>> readAll(List<Target> targets, String path) {
    List<CompletableFuture<Either<PollensparError, String>>> answers = new ArrayList<>();
    targets.forEach(target -> answers.add(read(target, path)));
    Map<Target, Either<PollensparError, String>> result = new LinkedHashMap<>();
    for (int i = 0; i < targets.size(); i++) {
      result.put(targets.get(i), answers.get(i).join());
    }
    return result;
  }

  private CompletableFuture<Either<PollensparError, String>> read(Target target, String path) {
    URI uri = URI.create("http://" + target.address() + ":" + target.port() + path);
    HttpRequest request = HttpRequest.newBuilder(uri).timeout(timeout).GET().build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .handle((response, failure) -> answer(target, response, failure));
  }

  private static Either<PollensparError, String> answer(
      Target target, @Nullable HttpResponse<String> response, @Nullable Throwable failure) {
    if (response == null) {
      Throwable cause =
          failure != null && failure.getCause() != null ? failure.getCause() : failure;
      return unavailable(target, String.valueOf(cause));
    }
    return response.statusCode() == 200
        ? Either.right(response.body())
        : unavailable(target, "HTTP status " + response.statusCode());
  }

  private static Either<PollensparError, String> unavailable(Target target, String why) {
    return Either.left(PollensparError.of(ErrorKind.PEER_UNAVAILABLE, target.id(), why));
  }
}
