package org.pollenspar.net.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.PollensparError;

/**
 * Client of the platform's services, which use HTTP with JSON. Calls block the calling thread for
 * at most their timeout. No call is repeated here, because only the caller knows whether it is
 * idempotent.
 */
public final class PlatformHttpClient implements KeyValueService, HostDirectory, GroupService {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /** Time beyond its wait that a long poll may take until its answer is complete. */
  private static final Duration WATCH_GRACE = Duration.ofSeconds(1);

  /** Characters of an unexpected body that go into the error message. */
  private static final int MAX_QUOTED = 200;

  private static final String IDLE_SECONDS_PROPERTY = "jdk.httpclient.keepalive.timeout";

  static {
    // The JDK's client keeps idle connections for 20 minutes, but servers close them after 10 s. A
    // PUT or POST on a connection that the server is closing would fail although the server works.
    if (System.getProperty(IDLE_SECONDS_PROPERTY) == null) {
      System.setProperty(IDLE_SECONDS_PROPERTY, "5");
    }
  }

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final String baseUrl;
  private final HttpClient client;

  /** Creates a client of the platform at {@code baseUrl}, for example {@code http://10.0.0.1:1}. */
  public PlatformHttpClient(URI baseUrl) {
    this.baseUrl = baseUrl.toString().replaceAll("/+$", "");
    this.client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();
  }

  @Override
  public Either<PollensparError, Optional<StoredValue>> read(String key, Duration timeout) {
    return call("GET", keyPath(key), null, timeout)
        .flatMap(answer -> answer.optional(404, PlatformHttpClient::storedValue));
  }

  @Override
  public Either<PollensparError, Optional<StoredValue>> watch(
      String key, long afterRevision, Duration wait) {
    String path = keyPath(key) + watchQuery(afterRevision, wait);
    return call("GET", path, null, wait.plus(WATCH_GRACE))
        .flatMap(answer -> answer.optional(404, PlatformHttpClient::storedValue))
        .map(value -> value.filter(v -> v.revision() > afterRevision));
  }

  @Override
  public Either<PollensparError, SwapResult> compareAndSwap(
      String key, String value, long expectedRevision, Optional<String> leaseId, Duration timeout) {
    ObjectNode body = object().put("value", value).put("expected_revision", expectedRevision);
    leaseId.ifPresent(lease -> body.put("lease", lease));
    return call("PUT", keyPath(key), body, timeout)
        .flatMap(
            answer ->
                answer.status() == 409
                    ? answer.parse(root -> new SwapResult(false, revision(root)))
                    : answer.required(root -> new SwapResult(true, revision(root))));
  }

  @Override
  public Either<PollensparError, String> createLease(Duration ttl, Duration timeout) {
    return call("POST", "/leases", object().put("ttl_ms", ttl.toMillis()), timeout)
        .flatMap(answer -> answer.required(root -> JsonFields.text(root, "lease")));
  }

  @Override
  public Either<PollensparError, Optional<HostList>> watch(long afterRevision, Duration wait) {
    return call("GET", "/hosts" + watchQuery(afterRevision, wait), null, wait.plus(WATCH_GRACE))
        .flatMap(answer -> answer.optional(304, HostListJson::read))
        .map(list -> list.filter(l -> l.revision() > afterRevision));
  }

  @Override
  public Either<PollensparError, GroupStatus> status(String group, Duration timeout) {
    return call("GET", groupPath(group, ""), null, timeout)
        .flatMap(answer -> answer.required(PlatformHttpClient::groupStatus));
  }

  @Override
  public Either<PollensparError, List<GroupDatabaseStatus>> fence(
      String group, long term, String owner, Duration timeout) {
    ObjectNode body = object().put("term", term).put("owner", owner);
    return call("POST", groupPath(group, "/fence"), body, timeout)
        .flatMap(answer -> answer.required(root -> databases(root.required("fenced"))));
  }

  @Override
  public Either<PollensparError, Boolean> promote(
      String group, long term, String owner, String databaseId, Duration timeout) {
    ObjectNode body = object().put("term", term).put("owner", owner).put("database", databaseId);
    return call("POST", groupPath(group, "/promote"), body, timeout)
        .flatMap(answer -> answer.required(root -> true));
  }

  private Either<PollensparError, PlatformResponse> call(
      String method, String path, @Nullable ObjectNode body, Duration timeout) {
    HttpRequest.BodyPublisher publisher =
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body.toString());
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(baseUrl + path))
            .header("Content-Type", "application/json")
            .method(method, publisher)
            .build();
    String name = method + " " + path;
    CompletableFuture<HttpResponse<String>> pending =
        client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    try {
      // HttpRequest.timeout covers the response only up to its headers, not the body.
      HttpResponse<String> response = pending.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
      return PlatformResponse.of(name, response.statusCode(), response.body());
    } catch (TimeoutException e) {
      return unavailable(name, "no answer within " + timeout.toMillis() + " ms");
    } catch (ExecutionException e) {
      return unavailable(name, String.valueOf(e.getCause()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return unavailable(name, "the calling thread was interrupted");
    } finally {
      pending.cancel(true);
    }
  }

  private static <T> Either<PollensparError, T> unavailable(String name, String reason) {
    return Either.left(PollensparError.of(ErrorKind.PLATFORM_UNAVAILABLE, name, reason));
  }

  private static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  private static String watchQuery(long afterRevision, Duration wait) {
    return "?after=" + afterRevision + "&wait_ms=" + wait.toMillis();
  }

  /** Encodes each segment of the key, but not the slashes between them. */
  private static String keyPath(String key) {
    return Arrays.stream(key.split("/", -1))
        .map(PlatformHttpClient::encode)
        .collect(Collectors.joining("/", "/kv/", ""));
  }

  private static String groupPath(String group, String action) {
    return "/groups/" + encode(group) + action;
  }

  private static String encode(String segment) {
    return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
  }

  private static StoredValue storedValue(JsonNode root) {
    return new StoredValue(JsonFields.text(root, "value"), revision(root));
  }

  private static long revision(JsonNode root) {
    return JsonFields.number(root, "revision");
  }

  private static GroupStatus groupStatus(JsonNode root) {
    return new GroupStatus(
        JsonFields.text(root, "group"),
        JsonFields.number(root, "term"),
        Optional.ofNullable(root.path("primary").textValue()).filter(id -> !id.isEmpty()),
        databases(root.required("members")));
  }

  private static List<GroupDatabaseStatus> databases(JsonNode array) {
    List<GroupDatabaseStatus> databases = new ArrayList<>();
    for (JsonNode node : array) {
      databases.add(
          new GroupDatabaseStatus(
              JsonFields.text(node, "id"),
              node.path("host").asText(""),
              node.path("port").asInt(0),
              node.path("reachable").asBoolean(true),
              JsonFields.number(node, "fenced_term"),
              JsonFields.number(node, "log_term"),
              JsonFields.number(node, "offset")));
    }
    return databases;
  }

  /**
   * A response of the platform.
   *
   * @param name method and path of the call
   * @param status HTTP status
   * @param body JSON; missing if the body is empty
   */
  private record PlatformResponse(String name, int status, JsonNode body) {

    static Either<PollensparError, PlatformResponse> of(String name, int status, String text) {
      if (status >= 500) {
        return unavailable(name, "status " + status + ": " + quoted(text));
      }
      try {
        JsonNode body = text.isBlank() ? MissingNode.getInstance() : MAPPER.readTree(text);
        return Either.right(new PlatformResponse(name, status, body));
      } catch (JsonProcessingException e) {
        return unavailable(
            name, "status " + status + " with a body that is not JSON: " + quoted(text));
      }
    }

    private static String quoted(String text) {
      return text.length() <= MAX_QUOTED ? text : text.substring(0, MAX_QUOTED) + "...";
    }

    <T> Either<PollensparError, T> required(Function<JsonNode, T> reader) {
      return status >= 200 && status < 300 ? parse(reader) : refused();
    }

    /** Reads the body; empty for the statuses 204, 304 and {@code absentStatus}. */
    <T> Either<PollensparError, Optional<T>> optional(
        int absentStatus, Function<JsonNode, T> reader) {
      return status == absentStatus || status == 204 || status == 304
          ? Either.right(Optional.empty())
          : required(reader).map(Optional::of);
    }

    <T> Either<PollensparError, T> parse(Function<JsonNode, T> reader) {
      try {
        return Either.right(reader.apply(body));
      } catch (IllegalArgumentException e) {
        return unavailable(name, "status " + status + ": " + e.getMessage());
      }
    }

    private <T> Either<PollensparError, T> refused() {
      String reason = "status " + status + ": " + quoted(body.toString());
      return Either.left(PollensparError.of(ErrorKind.PLATFORM_REFUSED, name, reason));
    }
  }
}
