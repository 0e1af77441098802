package org.pollenspar.standin.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.pollenspar.net.request.HttpCall;
import org.pollenspar.net.request.HttpReply;
import org.pollenspar.standin.connection.DatabaseFaults;
import org.pollenspar.standin.version.KeyValueStore;
import org.pollenspar.standin.version.KeyValueStore.StoredEntry;

/**
 * The key-value service of the platform over HTTP: reads, long-polling watches, compare-and-swap
 * writes and leases. {@link PlatformFaults} may refuse a call, or delay or drop its reply; a
 * dropped reply means that the change has been made and the call never completes.
 */
final class KeyValueApi {
  static final HttpReply SERVICE_DOWN = HttpReply.json(503, "{\"error\": \"service down\"}");

  private static final String KEY_PREFIX = "/kv/";
  private static final int MAX_VALUE_CHARS = 1 << 20;

  private final ObjectMapper json = new ObjectMapper();
  private final KeyValueStore store;
  private final PlatformFaults faults;
  private final CallCounters counters;
  private final LongSupplier clock;

  KeyValueApi(
      KeyValueStore store, PlatformFaults faults, CallCounters counters, LongSupplier clock) {
    this.store = store;
    this.faults = faults;
    this.counters = counters;
    this.clock = clock;
  }

  CompletableFuture<HttpReply> handle(HttpCall call) throws JsonProcessingException {
    CompletableFuture<HttpReply> reply = replyUnlessFaulty(call);
    long latencyMillis = faults.keyValueLatencyMillis;
    return latencyMillis == 0
        ? reply
        : reply.thenApplyAsync(
            r -> r, CompletableFuture.delayedExecutor(latencyMillis, TimeUnit.MILLISECONDS));
  }

  private CompletableFuture<HttpReply> replyUnlessFaulty(HttpCall call)
      throws JsonProcessingException {
    if (faults.keyValueHangs) {
      counters.count("kv_refused");
      return new CompletableFuture<>();
    }
    if (faults.keyValueDown) {
      counters.count("kv_refused");
      return CompletableFuture.completedFuture(SERVICE_DOWN);
    }
    if (call.method().equals("GET")) {
      return call.query().containsKey("after") ? watch(call) : completed(read(call));
    }
    HttpReply reply =
        call.path().startsWith(KEY_PREFIX)
            ? write(call.path().substring(KEY_PREFIX.length()), json.readTree(call.body()))
            : lease(call);
    boolean lost = DatabaseFaults.consume(faults.lostWriteAnswers);
    return lost ? new CompletableFuture<>() : completed(reply);
  }

  private HttpReply read(HttpCall call) {
    counters.count("kv_read");
    return entryReply(store.read(call.path().substring(KEY_PREFIX.length())), 404);
  }

  private CompletableFuture<HttpReply> watch(HttpCall call) {
    counters.count("kv_watch");
    long after = Long.parseLong(call.query().get("after"));
    long waitMillis = Long.parseLong(call.query().getOrDefault("wait_ms", "0"));
    return store
        .watch(call.path().substring(KEY_PREFIX.length()), after, clock.getAsLong() + waitMillis)
        .thenApply(entry -> faults.keyValueDown ? SERVICE_DOWN : entryReply(entry, 304));
  }

  private HttpReply write(String key, JsonNode body) {
    counters.count("kv_write");
    String value = body.required("value").asText();
    if (value.length() > MAX_VALUE_CHARS) {
      return HttpReply.json(413, "{\"error\": \"value too large\"}");
    }
    KeyValueStore.CompareAndSwapResult swap =
        store.compareAndSwap(
            key, value, body.required("expected_revision").asLong(), body.path("lease").asText(""));
    ObjectNode answer = json.createObjectNode().put("revision", swap.revision());
    return HttpReply.json(swap.applied() ? 200 : 409, answer.toString());
  }

  private HttpReply lease(HttpCall call) throws JsonProcessingException {
    String[] parts = call.path().split("/", -1);
    if (parts.length == 4 && parts[3].equals("renew")) {
      counters.count("lease_renew");
      boolean renewed = store.renewLease(parts[2], clock.getAsLong());
      return HttpReply.json(renewed ? 200 : 404, "{}");
    }
    counters.count("lease_create");
    long ttlMillis = json.readTree(call.body()).required("ttl_ms").asLong();
    String id = store.createLease(ttlMillis, clock.getAsLong());
    return HttpReply.json(200, json.createObjectNode().put("lease", id).toString());
  }

  private HttpReply entryReply(Optional<StoredEntry> entry, int absentStatus) {
    return entry
        .map(
            e ->
                HttpReply.json(
                    200,
                    json.createObjectNode()
                        .put("value", e.value())
                        .put("revision", e.revision())
                        .toString()))
        .orElseGet(() -> HttpReply.json(absentStatus, ""));
  }

  private static CompletableFuture<HttpReply> completed(HttpReply reply) {
    return CompletableFuture.completedFuture(reply);
  }
}
