package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: a store, services, the promotion call, hosts and an
 * operator. Its bounds and sizes are those of the site vlp-bilbao.
 */
final class Deployment implements AutoCloseable {
  static final long CONFIG_APPLY_MS = 3_000;
  private static final int MAX_CONNECTIONS = 49;
  private static final long REPLICATION_LAG_MS = 60;

  /** A route of a configuration. */
  record Route(String name, String database, String type, String service, long stalenessMillis) {}

  final Record record;
  final Store store;
  final List<Group> groups = new ArrayList<>();
  final List<Host> hosts = new ArrayList<>();
  final Path folder;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path root;
  private Platform platform;

  /** Field sync_replicas of the services that are added from now on. */
  int syncReplicas;

  /** Creates a deployment without services; {@code arguments} are the root and the case's folder. */
  Deployment(String[] arguments) throws IOException {
    root = Path.of(arguments[0]).toAbsolutePath();
    record = new Record(Path.of(arguments[1]).resolve("record.txt"));
    folder = Files.createTempDirectory("review");
    store = new Store();
    record.note(trouble ? "with the disruption" : "without the disruption");
  }

  /** Adds a service of three databases whose primary leads a term. */
  Group service(String name, long term, long firstNumber) throws IOException {
    Group group =
        new Group(
            name,
            3,
            term,
            firstNumber,
            REPLICATION_LAG_MS,
            MAX_CONNECTIONS,
            syncReplicas,
            store,
            record);
    groups.add(group);
    return group;
  }

  Platform platform() throws IOException {
    if (platform == null) {
      platform = new Platform(groups, record);
    }
    return platform;
  }

  /** Writes a configuration as the operator does. */
  void configure(long version, List<Route> routes) {
    List<String> routeTexts = new ArrayList<>();
    for (Route route : routes) {
      routeTexts.add(
          String.format(
              "{\"name\":\"%s\",\"db_name\":\"%s\",\"prefix\":\"/\",\"route_type\":\"%s\","
                  + "\"timeout_ms\":800,\"target_latency_ms\":250,\"priority\":1,"
                  + "\"service\":\"%s\",\"attempts\":2,\"max_staleness_ms\":%d}",
              route.name(), route.database(), route.type(), route.service(),
              route.stalenessMillis()));
    }
    List<String> serviceTexts = new ArrayList<>();
    for (Group group : groups) {
      serviceTexts.add(
          String.format(
              "{\"name\":\"%s\",\"health_path\":\"/healthz\",\"max_connections\":%d,"
                  + "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":%d}",
              group.service, MAX_CONNECTIONS, syncReplicas));
    }
    store.write(
        "op/config",
        String.format(
            "{\"config_version\":%d,\"routes\":[%s],\"services\":[%s],"
                + "\"limits\":{\"tx_idle_ms\":3000}}",
            version, String.join(",", routeTexts), String.join(",", serviceTexts)));
    record.note("configuration " + version + " acknowledged by the store: " + routes);
  }

  /** Starts a host of the deploy file. */
  Host host(String name, int storePort, int promotionPort) throws IOException {
    Host host = new Host(root, folder, name, storePort, promotionPort);
    hosts.add(host);
    record.line("started host " + name + ", process " + host.pid());
    return host;
  }

  /** Starts hosts and waits until each is ready; exits with 2 if one isn't. */
  void startHosts(String... names) throws IOException, InterruptedException {
    for (String name : names) {
      host(name, store.port(), platform().port());
    }
    for (Host host : hosts) {
      if (!host.awaitReady()) {
        throw new IOException("host " + host.name + " was not ready in time");
      }
    }
    record.note("hosts ready");
  }

  @Override
  public void close() {
    hosts.forEach(Host::close);
    if (platform != null) {
      platform.stop();
    }
    record.close();
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // A temporary folder may stay.
    }
  }

  /** Runs a case and ends the process with its exit code. */
  static void run(String[] arguments, Case body) {
    int code = 2;
    try (Deployment deployment = new Deployment(arguments)) {
      Runtime.getRuntime()
          .addShutdownHook(new Thread(() -> deployment.hosts.forEach(Host::close)));
      try {
        int broken = body.run(deployment);
        deployment.record.note(
            broken > 0 ? "RULE BROKEN, " + broken + " times" : "the rule held");
        code = broken > 0 ? 1 : 0;
      } catch (Exception e) {
        deployment.record.note("the case couldn't run: " + e);
      }
    } catch (IOException e) {
      System.out.println("the case couldn't run: " + e);
    }
    System.exit(code);
  }

  /** A case; returns how often the rule was broken. */
  interface Case {
    int run(Deployment deployment) throws Exception;
  }
}
