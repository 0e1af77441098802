import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
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

/** The platform's metadata store as PROTOCOL.md describes it, in memory; it is never in trouble itself. */
final class Store implements AutoCloseable {
  static final ObjectMapper JSON = new ObjectMapper();
  private static final long HISTORY_NANOS = 20_000_000_000L;
  private static final long MIN_TTL_MS = 1_000;
  private static final long MAX_WAIT_MS = 30_000;

  private record Item(String key, String value, long revision, long created, long lease) {}

  private record Event(ObjectNode json, String key, long revision, long nanos) {}

  private record Lease(long ttlMillis, long endsNanos) {}

  private record Reply(int status, ObjectNode body) {}

  private final HttpServer server;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 100;
  private long forgotten = 100;
  private long nextLease = 7_000;
  private volatile boolean closed;

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
    Case.background(
        "leases",
        () -> {
          while (!closed) {
            Case.pause(50);
            expire();
          }
        });
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Writes a key as the operator or a database does; returns when the store has acknowledged it. */
  synchronized long write(String key, String value) {
    put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    return revision;
  }

  synchronized void delete(String key) {
    Item old = items.remove(key);
    if (old != null) {
      revision++;
      ObjectNode event = JSON.createObjectNode();
      event.put("key", key).put("revision", revision).put("deleted", true);
      history.add(new Event(event, key, revision, System.nanoTime()));
      notifyAll();
    }
  }

  /** Returns a value as text; null if the key doesn't exist. */
  synchronized String text(String key) {
    Item item = items.get(key);
    return item == null
        ? null
        : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
  }

  private void put(String key, String base64, long lease) {
    revision++;
    Item old = items.get(key);
    Item item = new Item(key, base64, revision, old == null ? revision : old.created(), lease);
    items.put(key, item);
    history.add(new Event(json(item), key, revision, System.nanoTime()));
    notifyAll();
  }

  private static ObjectNode json(Item item) {
    ObjectNode node = JSON.createObjectNode();
    node.put("key", item.key()).put("value", item.value()).put("revision", item.revision());
    node.put("created", item.created()).put("lease_id", item.lease());
    return node;
  }

  private synchronized void expire() {
    long now = System.nanoTime();
    for (Map.Entry<Long, Lease> each : List.copyOf(leases.entrySet())) {
      if (each.getValue().endsNanos() - now < 0) {
        end(each.getKey());
      }
    }
    while (!history.isEmpty() && now - history.get(0).nanos() > HISTORY_NANOS) {
      forgotten = history.remove(0).revision();
    }
  }

  private boolean end(long lease) {
    if (leases.remove(lease) == null) {
      return false;
    }
    for (Item item : List.copyOf(items.values())) {
      if (item.lease() == lease) {
        delete(item.key());
      }
    }
    return true;
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = new HashMap<>();
      String raw = exchange.getRequestURI().getRawQuery();
      for (String pair : raw == null ? new String[0] : raw.split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
      String path = exchange.getRequestURI().getPath();
      Case.pause(4);
      Reply reply = answer(path, query, body.length == 0 ? JSON.createObjectNode() : JSON.readTree(body));
      byte[] text = JSON.writeValueAsBytes(reply.body());
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(reply.status(), text.length);
      exchange.getResponseBody().write(text);
    }
  }

  private static Reply reply(int status) {
    return new Reply(status, JSON.createObjectNode());
  }

  private synchronized Reply answer(String path, Map<String, String> query, JsonNode body) {
    String[] words = path.split("/");
    String call = words.length > 2 ? words[2] : "";
    long id = words.length > 3 ? Long.parseLong(words[3]) : 0;
    return switch (call) {
      case "kv-key" -> key(query.get("key"));
      case "kv-range" -> range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
      case "kv-watch" -> watch(query);
      case "kv-txn" -> transact(body);
      case "kv-lease" -> grant(body.path("ttl_ms").asLong());
      case "kv-keep" -> keep(id);
      case "kv-lease-end" -> reply(end(id) ? 200 : 404);
      default -> reply(404);
    };
  }

  private Reply key(String key) {
    Item item = items.get(key);
    if (item == null) {
      return reply(404);
    }
    return new Reply(200, json(item).put("store_revision", revision));
  }

  private Reply range(String prefix, String after) {
    Reply reply = reply(200);
    ArrayNode found = reply.body().putArray("items");
    for (Item item : items.tailMap(prefix).values()) {
      if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
        found.add(json(item));
      }
    }
    reply.body().put("has_more", false).put("store_revision", revision);
    return reply;
  }

  private Reply watch(Map<String, String> query) {
    String prefix = query.getOrDefault("prefix", "");
    long after = Long.parseLong(query.get("after"));
    long waitMillis = Math.min(MAX_WAIT_MS, Long.parseLong(query.get("wait_ms")));
    long end = System.nanoTime() + waitMillis * 1_000_000;
    while (true) {
      if (after < forgotten) {
        return reply(410);
      }
      Reply reply = reply(200);
      ArrayNode events = reply.body().putArray("events");
      for (Event event : history) {
        if (event.revision() > after && event.key().startsWith(prefix)) {
          events.add(event.json());
        }
      }
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || left <= 0) {
        reply.body().put("store_revision", revision);
        return reply;
      }
      try {
        wait(left);
      } catch (InterruptedException e) {
        return reply(503);
      }
    }
  }

  private Reply transact(JsonNode body) {
    ArrayNode present = JSON.createArrayNode();
    boolean holds = true;
    for (JsonNode row : body.path("expected_rev")) {
      Item item = items.get(row.path("key").asText());
      holds &= row.path("revision").asLong() == (item == null ? 0 : item.revision());
      if (item != null) {
        present.add(json(item));
      }
    }
    if (!holds) {
      Reply refused = reply(412);
      refused.body().set("items", present);
      return refused;
    }
    for (JsonNode row : body.path("puts")) {
      String key = row.path("key").asText();
      if (key.startsWith("op/") || key.startsWith("servers/")) {
        return reply(403);
      }
      long lease = row.path("lease_id").asLong();
      if (lease != 0 && !leases.containsKey(lease)) {
        return reply(404);
      }
    }
    for (JsonNode row : body.path("puts")) {
      put(row.path("key").asText(), row.path("value").asText(), row.path("lease_id").asLong());
    }
    for (JsonNode row : body.path("delete")) {
      delete(row.asText());
    }
    Reply done = reply(200);
    done.body().put("revision", revision);
    return done;
  }

  private Reply grant(long ttlMillis) {
    long ttl = Math.max(MIN_TTL_MS, ttlMillis);
    long id = nextLease++;
    leases.put(id, new Lease(ttl, System.nanoTime() + ttl * 1_000_000));
    Reply granted = reply(200);
    granted.body().put("lease_id", id).put("ttl_ms", ttl);
    return granted;
  }

  private Reply keep(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return reply(404);
    }
    leases.put(id, new Lease(lease.ttlMillis(), System.nanoTime() + lease.ttlMillis() * 1_000_000));
    Reply kept = reply(200);
    kept.body().put("ttl_ms", lease.ttlMillis());
    return kept;
  }

  @Override
  public void close() {
    closed = true;
    server.stop(0);
  }
}
