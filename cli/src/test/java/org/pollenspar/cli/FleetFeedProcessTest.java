package org.pollenspar.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.Closer;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.HostState;
import org.pollenspar.core.process.HybridClock;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.core.version.FleetVersion;
import org.pollenspar.core.version.VersionHolder;
import org.pollenspar.net.connection.NettyPeerNetwork;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.net.process.PlatformHttpClient;
import org.pollenspar.net.version.FleetFeed;
import org.pollenspar.standin.process.PlatformStandin;
import org.pollenspar.standin.process.Topology;

/**
 * Guards against a fleet file that does not reach every proxy. Covers the whole path: {@code
 * apply}, the platform over HTTP, the proxies that watch it, gossip over TCP, and {@code /status}.
 * Timing affects the results only through generous time limits.
 */
class FleetFeedProcessTest {
  private static final int PROXIES = 8;

  private final Closer closer = new Closer();
  private final List<ConfigurationNode> nodes = new ArrayList<>();
  private String platform = "";

  @AfterEach
  void close() {
    closer.close();
  }

  /** The part of a proxy that receives the configuration and reports its version. */
  private final class ConfigurationNode {
    final Host host;
    private FleetFeed feed;
    private NettyPeerNetwork network;
    private ControlThread control;

    ConfigurationNode(int number) throws IOException {
      network = network("p" + number, 0);
      HttpServer admin = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
      admin.createContext(
          "/status",
          exchange -> {
            byte[] body =
                "{\"config_version\": %d}".formatted(version()).getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
          });
      admin.start();
      closer.register(() -> admin.stop(0));
      host =
          new Host(
              "p" + number,
              "127.0.0.1",
              network.port(),
              1,
              admin.getAddress().getPort(),
              "d" + number % 2,
              "r",
              HostRole.PROXY,
              HostState.LIVE,
              List.of());
    }

    private NettyPeerNetwork network(String id, int port) {
      HybridClock clock = new HybridClock(System::currentTimeMillis);
      NettyPeerNetwork opened =
          closer.register(
              new NettyPeerNetwork(id, clock, 1, 1_000, request -> feed.handle(request)));
      opened.listen(new InetSocketAddress("127.0.0.1", port));
      return opened;
    }

    void start() {
      control = closer.register(new ControlThread(host.id(), failure -> {}));
      PlatformHttpClient client = new PlatformHttpClient(URI.create(platform));
      feed =
          closer.register(
              new FleetFeed(
                  host.id(),
                  host.domain(),
                  client,
                  client,
                  network,
                  control,
                  new Random(host.id().hashCode()),
                  new Timeline(host.id(), new HybridClock(System::currentTimeMillis), 100),
                  new VersionHolder()));
      feed.start();
    }

    void restart() {
      feed.close();
      control.close();
      network.close();
      network = network(host.id(), host.peerPort());
      start();
    }

    long version() {
      return feed == null ? 0 : feed.current().map(FleetVersion::version).orElse(0L);
    }
  }

  private void startFleet() throws IOException {
    for (int i = 1; i <= PROXIES; i++) {
      nodes.add(new ConfigurationNode(i));
    }
    Topology topology = new Topology(nodes.stream().map(n -> n.host).toList(), List.of());
    PlatformStandin standin =
        closer.register(new PlatformStandin(new InetSocketAddress("127.0.0.1", 0), topology));
    platform = "http://127.0.0.1:" + standin.port();
    nodes.forEach(ConfigurationNode::start);
  }

  private int apply(String file) {
    PrintStream ignored =
        new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
    String[] arguments = {"apply", "../examples/" + file, "--wait-s", "14", "--author", "test"};
    Map<String, String> environment = Map.of(CliContext.PLATFORM_VARIABLE, platform);
    return PollensparMain.run(arguments, ignored, ignored, environment).number();
  }

  private JsonNode callAdmin(String path, String body) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(platform + path))
            .version(HttpClient.Version.HTTP_1_1)
            .method(body.isEmpty() ? "GET" : "POST", HttpRequest.BodyPublishers.ofString(body))
            .build();
    HttpClient client = HttpClient.newHttpClient();
    return Json.MAPPER.readTree(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
  }

  private static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + Duration.ofSeconds(30).toNanos();
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, what);
      Thread.sleep(20);
    }
  }

  private long watchers() {
    return nodes.stream().filter(n -> n.feed.watching()).count();
  }

  @Test
  void appliedFilesReachEveryProxyDespitePlatformFaults() throws Exception {
    startFleet();
    assertEquals(0, apply("vale-lector.toml"));
    assertEquals(0, apply("aridos.toml"));
    assertTrue(nodes.stream().allMatch(n -> n.version() == 2));
    assertEquals(4, watchers(), "two in each of two failure domains");

    callAdmin("/admin/faults", "{\"kv_down\": true}");
    nodes.get(0).restart();
    nodes.get(1).restart();
    await("restarted proxies take version 2 from peers", () -> everyVersionIs(2));

    callAdmin("/admin/faults", "{\"kv_down\": false, \"kv_lost_answers\": 1}");
    assertEquals(0, apply("vale-lector.toml"), "apply resolves the lost answer");
    await("version 3 is in force", () -> everyVersionIs(3));
  }

  private boolean everyVersionIs(long version) {
    return nodes.stream().allMatch(n -> n.version() == version);
  }

  @Test
  void onlyWatchersCallThePlatformAndAnotherProxyReplacesALostWatcher() throws Exception {
    startFleet();
    assertEquals(0, apply("vale-lector.toml"));
    await("watchers are chosen", () -> watchers() == 4);
    long before = callAdmin("/admin/calls", "").path("kv_read").asLong();
    Thread.sleep(3_000);
    assertEquals(before, callAdmin("/admin/calls", "").path("kv_read").asLong());
    ConfigurationNode lost =
        nodes.stream().filter(n -> n.feed.watching()).findFirst().orElseThrow();
    lost.feed.close();
    lost.network.close();
    callAdmin("/admin/hosts", "{\"remove\": \"" + lost.host.id() + "\"}");
    nodes.remove(lost);
    await("another proxy watches", () -> watchers() == 4);
    assertEquals(0, apply("aridos.toml"));
  }
}
