package org.pollenspar.load.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import org.pollenspar.load.request.LoadRequest;
import org.pollenspar.load.request.WorkAnswer;
import org.pollenspar.load.request.WorkAnswer.Outcome;

/**
 * Sends each request to a proxy chosen at random, as a load balancer does. A proxy that refuses the
 * connection or answers that it is draining has not run the request, so the client sends it to
 * another proxy.
 */
final class ProxyClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final long RESPONSE_MARGIN_MILLIS = 2000;
  private static final int THREADS = 4;
  private static final String DRAINING = "DRAINING";

  private final List<URI> proxies;
  private final ObjectMapper json = new ObjectMapper();
  private final HttpClient http;

  ProxyClient(List<URI> proxies) {
    this.proxies = List.copyOf(proxies);
    this.http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .executor(
                Executors.newFixedThreadPool(
                    THREADS,
                    task -> {
                      Thread thread = new Thread(task, "load-http");
                      thread.setDaemon(true);
                      return thread;
                    }))
            .build();
  }

  /** Opens a session and returns its token. */
  String openSession() throws IOException, InterruptedException {
    int first = ThreadLocalRandom.current().nextInt(proxies.size());
    IOException last = new IOException("no proxy opened a session");
    for (int i = 0; i < proxies.size(); i++) {
      URI proxy = proxies.get((first + i) % proxies.size());
      try {
        HttpResponse<String> response =
            http.send(
                request(proxy, "/v1/sessions", "{}", RESPONSE_MARGIN_MILLIS),
                HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() == 201) {
          return json.readTree(response.body()).path("session").asText();
        }
        last =
            new IOException(
                "opening a session failed with status "
                    + response.statusCode()
                    + ": "
                    + response.body());
      } catch (JsonProcessingException e) {
        throw e;
      } catch (IOException e) {
        last = e;
      }
    }
    throw last;
  }

  /** Sends a request. The future never fails; a request without response has an unknown outcome. */
  CompletableFuture<WorkAnswer> send(LoadRequest call, Collection<String> tokens, boolean retry) {
    int first = ThreadLocalRandom.current().nextInt(proxies.size());
    return send(call, call.body(tokens, retry), first, proxies.size() - 1);
  }

  private CompletableFuture<WorkAnswer> send(
      LoadRequest call, String body, int proxy, int remainingProxies) {
    URI uri = proxies.get(proxy % proxies.size());
    HttpRequest request =
        request(uri, "/v1/work", body, call.deadlineMillis() + RESPONSE_MARGIN_MILLIS);
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .handle(
            (response, failure) ->
                failure == null
                    ? WorkAnswer.read(response.statusCode(), response.body())
                    : answerForFailure(failure))
        .thenCompose(
            answer -> {
              boolean tryNextProxy =
                  answer.outcome() == Outcome.NOT_RUN && answer.error().equals(DRAINING);
              return tryNextProxy && remainingProxies > 0
                  ? send(call, body, proxy + 1, remainingProxies - 1)
                  : CompletableFuture.completedFuture(answer);
            });
  }

  private static WorkAnswer answerForFailure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException e ? e.getCause() : failure;
    // Without a connection nothing was sent, so the request did not run, as with a draining proxy.
    return cause instanceof ConnectException
        ? WorkAnswer.of(Outcome.NOT_RUN, DRAINING)
        : WorkAnswer.of(Outcome.UNKNOWN, "NO_ANSWER");
  }

  private static HttpRequest request(URI proxy, String path, String body, long timeoutMillis) {
    return HttpRequest.newBuilder(proxy.resolve(path))
        .header("Content-Type", "application/json")
        .timeout(Duration.ofMillis(timeoutMillis))
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build();
  }
}
