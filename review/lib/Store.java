package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's metadata store: keys with revisions, conditional transactions, leases
 * and watches, as PROTOCOL.md describes them. An answer takes about 4 ms.
 */
final class Store {
  private static final JsonMapper JSON = new JsonMapper();
  private static final long ANSWER_MS = 4;

  private record Item(String key, byte[] value, long revision, long created, long lease) {}

  private record Event(String key, Item item, long revision) {}

  private record Reply(int status, ObjectNode body) {}

  private record Lease(long ttlMillis, long endsAtNanos) {}

  private final HttpServer server;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 100;
  private long nextLease = 7_000;

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", this::handle);
    server.start();
    Thread expiry = new Thread(this::expireLoop, "store-leases");
    expiry.setDaemon(true);
    expiry.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Writes a key as the operator or a database does; returns when the store has acknowledged. */
  synchronized void write(String key, String value) {
    put(key, value.getBytes(StandardCharsets.UTF_8), 0);
  }

  /** Removes a key as its owner does. */
  synchronized void delete(String key) {
    remove(key);
  }

  /** Returns a value as text; null if the key doesn't exist. */
  synchronized String value(String key) {
    Item item = items.get(key);
    return item == null ? null : new String(item.value(), StandardCharsets.UTF_8);
  }

  private void put(String key, byte[] value, long lease) {
    revision++;
    Item known = items.get(key);
    Item item = new Item(key, value, revision, known == null ? revision : known.created(), lease);
    items.put(key, item);
    history.add(new Event(key, item, revision));
    notifyAll();
  }

  private void remove(String key) {
    if (items.remove(key) != null) {
      revision++;
      history.add(new Event(key, null, revision));
      notifyAll();
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      JsonNode request = body.length == 0 ? JSON.createObjectNode() : JSON.readTree(body);
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      String call = exchange.getRequestURI().getPath().replaceFirst("^/pollenspar/", "");
      Thread.sleep(ANSWER_MS / 2);
      Reply reply = answer(call, query, request);
      Thread.sleep(ANSWER_MS / 2);
      byte[] text = JSON.writeValueAsBytes(reply.body());
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(reply.status(), text.length);
      exchange.getResponseBody().write(text);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Reply reply(int status) {
    return new Reply(status, JSON.createObjectNode());
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> result = new HashMap<>();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        int equals = pair.indexOf('=');
        result.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return result;
  }

  private synchronized Reply answer(String call, Map<String, String> query, JsonNode request)
      throws InterruptedException {
    int slash = call.indexOf('/');
    long id = slash < 0 ? 0 : Long.parseLong(call.substring(slash + 1));
    return switch (slash < 0 ? call : call.substring(0, slash)) {
      case "kv-key" -> read(query.getOrDefault("key", ""));
      case "kv-range" -> range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
      case "kv-watch" -> watch(query);
      case "kv-txn" -> transact(request);
      case "kv-lease" -> grantLease(request.path("ttl_ms").asLong());
      case "kv-keep" -> renewLease(id);
      case "kv-lease-end" -> endLease(id);
      default -> reply(404);
    };
  }

  private static ObjectNode encode(Item item) {
    return JSON.createObjectNode()
        .put("key", item.key())
        .put("value", Base64.getEncoder().encodeToString(item.value()))
        .put("revision", item.revision())
        .put("created", item.created())
        .put("lease_id", item.lease());
  }

  private Reply read(String key) {
    Item item = items.get(key);
    return item == null ? reply(404) : new Reply(200, encode(item).put("store_revision", revision));
  }

  private Reply range(String prefix, String after) {
    Reply reply = reply(200);
    ArrayNode list = reply.body().putArray("items");
    for (Item item : items.tailMap(prefix).values()) {
      if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
        list.add(encode(item));
      }
    }
    reply.body().put("has_more", false).put("store_revision", revision);
    return reply;
  }

  private Reply watch(Map<String, String> query) throws InterruptedException {
    String prefix = query.getOrDefault("prefix", "");
    long after = Long.parseLong(query.get("after"));
    long ends = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
    while (true) {
      Reply reply = reply(200);
      ArrayNode events = reply.body().putArray("events");
      for (int i = firstAfter(after); i < history.size(); i++) {
        Event event = history.get(i);
        if (event.key().startsWith(prefix)) {
          events.add(
              event.item() != null
                  ? encode(event.item())
                  : JSON.createObjectNode()
                      .put("key", event.key())
                      .put("revision", event.revision())
                      .put("deleted", true));
        }
      }
      long left = (ends - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || left <= 0) {
        reply.body().put("store_revision", revision);
        return reply;
      }
      wait(Math.max(1, left));
    }
  }

  private int firstAfter(long after) {
    int i = history.size();
    while (i > 0 && history.get(i - 1).revision() > after) {
      i--;
    }
    return i;
  }

  private Reply transact(JsonNode request) {
    ArrayNode current = JSON.createArrayNode();
    boolean holds = true;
    for (JsonNode row : request.path("expected_rev")) {
      Item item = items.get(row.path("key").asText());
      holds &= row.path("revision").asLong() == (item == null ? 0 : item.revision());
      if (item != null) {
        current.add(encode(item));
      }
    }
    if (!holds) {
      Reply refused = reply(412);
      refused.body().set("items", current);
      return refused;
    }
    for (JsonNode row : request.path("puts")) {
      long lease = row.path("lease_id").asLong();
      if (lease != 0 && !leases.containsKey(lease)) {
        return reply(404);
      }
    }
    for (JsonNode row : request.path("puts")) {
      byte[] value = Base64.getDecoder().decode(row.path("value").asText());
      put(row.path("key").asText(), value, row.path("lease_id").asLong());
    }
    request.path("delete").forEach(key -> remove(key.asText()));
    Reply done = reply(200);
    done.body().put("revision", revision);
    return done;
  }

  private Reply grantLease(long ttlMillis) {
    long id = nextLease++;
    leases.put(id, new Lease(ttlMillis, System.nanoTime() + ttlMillis * 1_000_000));
    Reply granted = reply(200);
    granted.body().put("lease_id", id).put("ttl_ms", ttlMillis);
    return granted;
  }

  private Reply renewLease(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return reply(404);
    }
    leases.put(id, new Lease(lease.ttlMillis(), System.nanoTime() + lease.ttlMillis() * 1_000_000));
    Reply renewed = reply(200);
    renewed.body().put("ttl_ms", lease.ttlMillis());
    return renewed;
  }

  private Reply endLease(long id) {
    boolean known = leases.remove(id) != null;
    for (Item item : List.copyOf(items.values())) {
      if (known && item.lease() == id) {
        remove(item.key());
      }
    }
    return reply(known ? 200 : 404);
  }

  private void expireLoop() {
    while (true) {
      synchronized (this) {
        long now = System.nanoTime();
        for (Map.Entry<Long, Lease> lease : List.copyOf(leases.entrySet())) {
          if (lease.getValue().endsAtNanos() - now < 0) {
            endLease(lease.getKey());
          }
        }
      }
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
