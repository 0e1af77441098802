package org.pollenspar.failover.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.process.Closer;
import org.pollenspar.core.process.DatabaseEndpoint;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.HostState;
import org.pollenspar.core.process.HybridClock;
import org.pollenspar.core.version.ConfigurationJson;
import org.pollenspar.core.version.ConfigurationVersion;
import org.pollenspar.net.connection.NettyPeerNetwork;
import org.pollenspar.net.process.PlatformHttpClient;
import org.pollenspar.net.process.ProgramName;
import org.pollenspar.net.process.SettingsReader;
import org.pollenspar.standin.process.DatabaseOptions;
import org.pollenspar.standin.process.DatabaseStandin;
import org.pollenspar.standin.process.PlatformStandin;
import org.pollenspar.standin.process.Topology;
import org.pollenspar.wire.DatabaseReport;
import org.pollenspar.wire.Envelope;
import org.pollenspar.wire.GroupReportMessage;

/**
 * Guards against faults between the parts of the failover agent, which the tests of the parts do
 * not show. Two agents run against stand-ins of the platform and of three databases; peers that
 * report the states of the databases take the place of the home proxies.
 */
class FailoverProgramTest {
  private static final int FIRST_PORT = 20_000;

  /** First port that Linux gives to outgoing connections by default. */
  private static final int OUTGOING_PORTS_FROM = 32_768;

  private static final int AWAIT_ROUNDS = 6_000;
  private static final String FLEET =
      """
      deployment = "test"
      [ranks.high]
      level = 1
      floor_percent = 10
      queue_limit = 10
      [kinds.lookup]
      rank = "high"
      access = "read"
      deadline_ms = 100
      [groups.g]
      databases = ["d0", "d1", "d2"]
      connections_per_database = 50
      """;

  private final RandomGenerator random = new SplittableRandom();
  private final Closer closer = new Closer();
  private final List<DatabaseStandin> databases = new ArrayList<>();
  private final List<Integer> adminPorts = new ArrayList<>();
  private final Map<String, Long> cutOffSince = new ConcurrentHashMap<>();
  private PlatformStandin platform;

  @BeforeEach
  void start(@TempDir Path directory) throws Exception {
    List<Topology.GroupDatabase> members = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      DatabaseStandin database =
          closer.register(new DatabaseStandin(DatabaseOptions.immediate("d" + i)));
      databases.add(database);
      members.add(
          new Topology.GroupDatabase(
              "d" + i, "127.0.0.1", database.port(), database.controlPort()));
    }
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      hosts.add(host("home" + i, i, startHome("home" + i), 9, HostRole.PROXY, List.of()));
      var endpoint = new DatabaseEndpoint("d" + i, "g", databases.get(i).port());
      hosts.add(host("b" + i, i, 0, 0, HostRole.BACKEND_SERVER, List.of(endpoint)));
    }
    for (int i = 0; i < 2; i++) {
      adminPorts.add(freePort());
      hosts.add(host("agent" + i, i, freePort(), adminPorts.get(i), HostRole.FAILOVER, List.of()));
    }
    Topology topology = new Topology(hosts, List.of(new Topology.Group("g", "d0", 1, members)));
    platform =
        closer.register(
            new PlatformStandin(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), topology));
    applyFleetFile();
    for (Host host : hosts) {
      if (host.role() == HostRole.FAILOVER) {
        startAgent(directory, host);
      }
    }
    await(
        "the agents serve",
        () -> adminPorts.stream().allMatch(p -> statusCode(p, "/health") == 200));
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  private static Host host(
      String id, int domain, int peer, int admin, HostRole role, List<DatabaseEndpoint> databases) {
    return new Host(
        id, "127.0.0.1", peer, 0, admin, "z" + domain, "r", role, HostState.LIVE, databases);
  }

  /**
   * Returns a port that no process has open. It lies below those that the system gives to outgoing
   * connections, so that none of them takes it before the agent opens it.
   */
  private int freePort() throws IOException {
    while (true) {
      int port = FIRST_PORT + random.nextInt(OUTGOING_PORTS_FROM - FIRST_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // In use; another one is tried.
      }
    }
  }

  private int startHome(String id) {
    NettyPeerNetwork network =
        closer.register(
            new NettyPeerNetwork(
                id, new HybridClock(System::currentTimeMillis), 1, 100, this::report));
    network.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return network.port();
  }

  private CompletionStage<Envelope.Builder> report(Envelope request) {
    if (!request.hasGroupReportRequest()) {
      return CompletableFuture.failedFuture(new IllegalArgumentException("not a report request"));
    }
    var report = GroupReportMessage.newBuilder().setHome(true);
    for (DatabaseStandin database : databases) {
      DatabaseState state = database.state();
      Long since = cutOffSince.get(state.databaseId());
      long age = since == null ? 1 : (System.nanoTime() - since) / 1_000_000;
      report.addDatabases(
          DatabaseReport.newBuilder()
              .setDatabase(state.databaseId())
              .setRole(state.role().wireName())
              .setFencedTerm(state.fencedTerm())
              .setLogTerm(state.logTerm())
              .setLogOffset(state.logOffset())
              .setProbeAgeMillis((int) age));
    }
    return CompletableFuture.completedFuture(Envelope.newBuilder().setGroupReport(report));
  }

  private void applyFleetFile() {
    var version =
        new ConfigurationVersion(
            1, "a1", "test", ConfigurationVersion.hash(FLEET), FLEET, List.of());
    var swap =
        new PlatformHttpClient(platform.baseUrl())
            .compareAndSwap(
                ConfigurationJson.KEY,
                ConfigurationJson.encode(version),
                0,
                Optional.empty(),
                Duration.ofSeconds(10));
    assertTrue(swap.get().applied());
  }

  private void startAgent(Path directory, Host host) throws IOException {
    Path file = directory.resolve(host.id() + ".toml");
    Files.writeString(
        file,
        """
        id = "%s"
        address = "127.0.0.1"
        peer_port = %d
        admin_port = %d
        domain = "%s"
        region = "r"
        platform_url = "%s"
        """
            .formatted(
                host.id(),
                host.peerPort(),
                host.adminPort(),
                host.domain(),
                platform.baseUrl().toString().replaceAll("/$", "")));
    closer.register(new FailoverProgram(SettingsReader.read(ProgramName.FAILOVER, file).get()));
  }

  private static int statusCode(int port, String path) {
    try {
      return send(port, path).statusCode();
    } catch (IOException notYetListening) {
      return 0;
    }
  }

  private static HttpResponse<String> send(int port, String path) throws IOException {
    try {
      URI uri = URI.create("http://127.0.0.1:" + port + path);
      return HttpClient.newHttpClient()
          .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Waits for a condition. The limit of about one minute only ends a run that hangs. */
  private static void await(String what, BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < AWAIT_ROUNDS; i++) {
      if (condition.getAsBoolean()) {
        return;
      }
      Thread.sleep(10);
    }
    throw new AssertionError("did not happen: " + what);
  }

  private boolean isPrimary(int index, long term) {
    DatabaseState state = databases.get(index).state();
    return state.leads() && state.logTerm() >= term;
  }

  private String timelines() throws IOException {
    StringBuilder lines = new StringBuilder();
    for (int port : adminPorts) {
      lines.append(send(port, "/timeline").body());
    }
    return lines.toString();
  }

  private static int countMatches(String text, String part) {
    return text.split(part, -1).length - 1;
  }

  @Test
  void unreachablePrimaryIsReplacedExactlyOnce() throws Exception {
    databases.get(0).faults().partitioned = true;
    cutOffSince.put("d0", System.nanoTime());
    await("a replica leads", () -> isPrimary(1, 2) || isPrimary(2, 2));
    await("the timeline shows it", () -> timelinesContain("primary_promoted"));
    assertEquals(1, countMatches(timelines(), "primary_promoted"), timelines());
    assertTrue(send(adminPorts.get(0), "/status").body().contains("\"watched_groups\":{\"g\":"));
  }

  @Test
  void primaryOnLeavingHostIsReplaced() throws Exception {
    platform.changeHostState("b0", HostState.LEAVING);
    await("a replica leads", () -> isPrimary(1, 2) || isPrimary(2, 2));
  }

  @ParameterizedTest
  @ValueSource(strings = {"\"kv_down\": true", "\"kv_hangs\": true", "\"group_lost_answers\": 2"})
  void unreachablePrimaryIsReplacedDespitePlatformFaults(String fault) throws Exception {
    platform.changeFaults("{" + fault + "}");
    databases.get(0).faults().partitioned = true;
    cutOffSince.put("d0", System.nanoTime());
    await("a replica leads", () -> isPrimary(1, 2) || isPrimary(2, 2));
  }

  private boolean timelinesContain(String event) {
    try {
      return timelines().contains(event);
    } catch (IOException e) {
      return false;
    }
  }
}
