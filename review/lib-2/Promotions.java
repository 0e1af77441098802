import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;

/** The platform's promotion call. It doesn't check fences; it records what it has seen. */
final class Promotions implements AutoCloseable {
  /** A call in the order of its arrival. */
  record Call(long atMillis, String holder, long fence, String id) {}

  private final HttpServer server;
  private final Group group;
  private final List<Call> calls = new ArrayList<>();

  Promotions(Group group) throws IOException {
    this.group = group;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "promotions");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/promotion", this::handle);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  synchronized List<Call> calls() {
    return List.copyOf(calls);
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      JsonNode body = Store.JSON.readTree(exchange.getRequestBody().readAllBytes());
      String holder = exchange.getRequestHeaders().getFirst("X-Lease-Holder");
      long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fencing-Token"));
      String id = body.path("id").asText();
      synchronized (this) {
        calls.add(new Call(Case.now(), holder, fence, id));
      }
      boolean done = group.promote(id);
      Case.note(
          "platform: promotion of " + id + " by " + holder + " with fence " + fence + " answered "
              + (done ? 200 : 409));
      exchange.sendResponseHeaders(done ? 200 : 409, -1);
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
