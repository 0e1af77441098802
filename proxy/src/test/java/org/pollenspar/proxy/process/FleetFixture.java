package org.pollenspar.proxy.process;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.pollenspar.core.process.Closer;
import org.pollenspar.core.process.DatabaseEndpoint;
import org.pollenspar.core.process.ErrorReporter;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.HostState;
import org.pollenspar.core.process.HybridClock;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.core.version.ConfigurationJson;
import org.pollenspar.core.version.ConfigurationVersion;
import org.pollenspar.net.connection.NettyPeerNetwork;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.net.process.PlatformHttpClient;
import org.pollenspar.proxy.connection.DatabaseLogin;
import org.pollenspar.proxy.connection.HomePolicy;
import org.pollenspar.standin.process.DatabaseOptions;
import org.pollenspar.standin.process.DatabaseStandin;
import org.pollenspar.standin.process.PlatformStandin;
import org.pollenspar.standin.process.Topology;

/** A platform stand-in, three database stand-ins and proxies in one JVM, connected over TCP. */
final class FleetFixture implements AutoCloseable {
  private static final String LOCAL = "127.0.0.1";
  private static final int AWAIT_SECONDS = 20;
  private static final JsonMapper MAPPER = JsonMapper.builder().build();
  static final String FILE =
      """
      deployment = "Vale"
      [ranks.urgent]
      level = 1
      [ranks.bulk]
      level = 3
      [kinds.redeem]
      rank = "urgent"
      access = "write"
      deadline_ms = 20000
      [kinds.balance]
      rank = "bulk"
      access = "read"
      deadline_ms = 20000
      [groups.ledger]
      databases = ["d0", "d1", "d2"]
      connections_per_database = 30
      """;

  final List<DatabaseStandin> databases = new ArrayList<>();
  final List<Proxy> proxies = new ArrayList<>();
  final ConcurrentLinkedQueue<Throwable> failures = new ConcurrentLinkedQueue<>();
  final PlatformStandin platform;
  final PlatformHttpClient platformClient;

  private final Closer closer = new Closer();
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  FleetFixture(int proxyCount) throws InterruptedException {
    List<Host> hosts = new ArrayList<>();
    List<Topology.GroupDatabase> members = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      String id = "d" + i;
      DatabaseStandin database =
          closer.register(new DatabaseStandin(DatabaseOptions.immediate(id)));
      databases.add(database);
      members.add(new Topology.GroupDatabase(id, LOCAL, database.port(), database.controlPort()));
      DatabaseEndpoint endpoint = new DatabaseEndpoint(id, "ledger", database.port());
      hosts.add(host("b" + i, 0, HostRole.BACKEND_SERVER, "z" + i, List.of(endpoint)));
    }
    Topology topology =
        new Topology(hosts, List.of(new Topology.Group("ledger", "d0", 1, members)));
    platform = closer.register(new PlatformStandin(new InetSocketAddress(LOCAL, 0), topology));
    platformClient = new PlatformHttpClient(platform.baseUrl());
    apply(1, FILE);
    for (int i = 0; i < proxyCount; i++) {
      startProxy("p" + i, "z" + i % 3);
    }
    for (Proxy proxy : proxies) {
      await(() -> homesKnown(proxy, Math.min(3, proxyCount)));
    }
  }

  private static boolean homesKnown(Proxy proxy, int count) {
    return proxy.state() == ProxyState.SERVING && proxy.homes("ledger").size() == count;
  }

  /** Stores a configuration version on the platform. */
  void apply(long version, String text) {
    ConfigurationVersion value =
        new ConfigurationVersion(
            version, "apply-" + version, "test", ConfigurationVersion.hash(text), text, List.of());
    var swapped =
        platformClient.compareAndSwap(
            ConfigurationJson.KEY,
            ConfigurationJson.encode(value),
            platformClient
                .read(ConfigurationJson.KEY, Duration.ofSeconds(5))
                .get()
                .map(stored -> stored.revision())
                .orElse(0L),
            Optional.empty(),
            Duration.ofSeconds(5));
    if (!swapped.get().applied()) {
      throw new IllegalStateException("the platform did not store the configuration");
    }
  }

  private void startProxy(String id, String domain) {
    HybridClock clock = new HybridClock(System::currentTimeMillis);
    Timeline timeline = new Timeline(id, clock, 1000);
    InvariantChecker invariants = new InvariantChecker(new ErrorReporter(List.of()), timeline);
    ControlThread control = closer.register(new ControlThread("control", failures::add));
    ProxyOptions options =
        new ProxyOptions(
            id,
            domain,
            new InetSocketAddress(LOCAL, 0),
            new InetSocketAddress(LOCAL, 0),
            "sixteen bytes and more",
            new DatabaseLogin("proxy", "", "ledger", Duration.ofSeconds(1)),
            HomePolicy.STANDARD,
            Duration.ofSeconds(30),
            4);
    int[] peerPort = new int[1];
    Proxy proxy =
        new Proxy(
            options,
            new Proxy.ProcessServices(control, timeline, invariants, new MetricRegistry()),
            new Proxy.PlatformServices(platformClient, platformClient),
            handler -> {
              NettyPeerNetwork network = new NettyPeerNetwork(id, clock, 2, 10_000, handler);
              network.listen(new InetSocketAddress(LOCAL, 0));
              peerPort[0] = network.port();
              return network;
            });
    platform.addHost(host(id, peerPort[0], HostRole.PROXY, domain, List.of()));
    proxy.start();
    proxies.add(closer.register(proxy));
  }

  private static Host host(
      String id, int peerPort, HostRole role, String domain, List<DatabaseEndpoint> databases) {
    return new Host(id, LOCAL, peerPort, 0, 0, domain, "r", role, HostState.LIVE, databases);
  }

  /** Sends a request to a proxy. */
  CompletableFuture<JsonNode> post(int proxy, String path, String body) {
    URI uri = URI.create("http://" + LOCAL + ":" + proxies.get(proxy).callersPort() + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri).POST(HttpRequest.BodyPublishers.ofString(body)).build();
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .thenApply(response -> parse(response.body()));
  }

  private static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (IOException e) {
      throw new IllegalStateException(text, e);
    }
  }

  String session(int proxy) {
    return join(post(proxy, "/v1/sessions", "")).path("session").textValue();
  }

  /** Sends a write, or a read if {@code key} is empty. */
  CompletableFuture<JsonNode> work(int proxy, String session, String key, String... sql) {
    var body =
        MAPPER
            .createObjectNode()
            .put("session", session)
            .put("group", "ledger")
            .put("kind", key.isEmpty() ? "balance" : "redeem");
    if (!key.isEmpty()) {
      body.put("key", key);
    }
    var statements = body.putArray("statements");
    for (String text : sql) {
      var statement = statements.addObject().put("sql", text);
      if (text.startsWith("UPDATE")) {
        statement.put("expect_rows", 1);
      }
    }
    return post(proxy, "/v1/work", body.toString());
  }

  static JsonNode join(CompletableFuture<JsonNode> answer) {
    return answer.orTimeout(AWAIT_SECONDS, TimeUnit.SECONDS).join();
  }

  /** Waits for an answer and returns it; fails unless its outcome is done. */
  static JsonNode done(CompletableFuture<JsonNode> answer) {
    JsonNode node = join(answer);
    if (!node.path("outcome").asText().equals("done")) {
      throw new AssertionError(node.toString());
    }
    return node;
  }

  /** Waits for a condition that becomes true eventually; the timeout only ends a hanging run. */
  static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError("the condition did not become true");
      }
      Thread.sleep(5);
    }
  }

  JsonNode status(int proxy) {
    return proxies.get(proxy).status().orTimeout(AWAIT_SECONDS, TimeUnit.SECONDS).join();
  }

  long violations() {
    long sum = 0;
    for (int i = 0; i < proxies.size(); i++) {
      for (JsonNode invariant : status(i).path("invariants")) {
        sum += invariant.path("violations").asLong();
      }
    }
    return sum;
  }

  @Override
  public void close() {
    closer.close();
  }
}
