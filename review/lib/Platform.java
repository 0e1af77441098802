package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;

/** Stand-in of the platform's promotion call; it doesn't check fences and records each call. */
final class Platform {
  private static final JsonMapper JSON = new JsonMapper();

  /** A promotion call that arrived. */
  record Call(long atMillis, String service, String id, String holder, long fence) {}

  final List<Call> calls = new ArrayList<>();
  private final HttpServer server;
  private final List<Group> groups;
  private final Record record;

  Platform(List<Group> groups, Record record) throws IOException {
    this.groups = groups;
    this.record = record;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext("/promotion", this::promotion);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  void stop() {
    server.stop(0);
  }

  private void promotion(HttpExchange exchange) throws IOException {
    try (exchange) {
      JsonNode body = JSON.readTree(exchange.getRequestBody().readAllBytes());
      String service = body.path("service").asText();
      String id = body.path("id").asText();
      Call call =
          new Call(
              record.millis(),
              service,
              id,
              exchange.getRequestHeaders().getFirst("X-Lease-Holder"),
              Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fencing-Token")));
      synchronized (this) {
        calls.add(call);
      }
      record.line("promotion call: " + call);
      boolean done =
          groups.stream()
              .filter(each -> each.service.equals(service))
              .anyMatch(each -> each.promote(id));
      byte[] text = "{}".getBytes();
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(done ? 200 : 409, text.length);
      exchange.getResponseBody().write(text);
    }
  }
}
