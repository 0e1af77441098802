import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.pollenspar.platform.standin.FakeStore;

/** A small deployment: the project's own stand-in of the store, three databases, edge processes. */
final class Site implements AutoCloseable {
  static final String SERVICE = "ledger";
  final Record record;
  final Database.Group group;
  final FakeStore store;
  final List<Edge> edges = new ArrayList<>();
  final Path folder;

  /** A route; type is primary, bounded or read_your_writes. */
  record Route(String name, String type, int staleness, int timeout, int target, int priority) {}

  Site(Record record) throws IOException {
    this.record = record;
    folder = Files.createTempDirectory("review-3-");
    group = new Database.Group(SERVICE, record);
    // Also if the case is stopped from outside.
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    store = new FakeStore((service, id) -> service.equals(SERVICE) && promoted(id));
  }

  private boolean promoted(String id) {
    boolean done = group.promote(id);
    record.line("POST /promotion " + id + ": " + (done ? 200 : 409));
    return done;
  }

  void databases() throws IOException {
    for (int i = 0; i < 3; i++) {
      register(new Database("i-" + (i + 1), group, i == 0));
    }
    // Heartbeats write only what has changed, as the sequence alone changes nothing here.
    Database.start(
        "roles",
        () -> {
          List<Boolean> known = new ArrayList<>(List.of(true, false, false));
          while (true) {
            Database.sleep(50);
            for (int i = 0; i < group.all.size() && i < known.size(); i++) {
              Database each = group.all.get(i);
              if (!each.dark && !each.down && each.primary != known.get(i)) {
                known.set(i, each.primary);
                register(each);
              }
            }
          }
        });
  }

  void register(Database each) {
    store.write(
        "servers/" + each.id,
        ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-a\",\"config_version\":"
                + "\"v1\",\"capacity\":%d,\"state\":\"ready\",\"warmup_left_ms\":0,\"db_role\":"
                + "\"%s\",\"sequence\":1,\"born\":1700000000000}")
            .formatted(
                SERVICE,
                each.port,
                group.slotCount,
                each.primary ? "primary" : "replica"));
  }

  /** A database goes dark; its entry is removed after three heartbeat intervals of silence. */
  void dark(Database each) {
    each.goDark();
    record.line(each.id + " goes dark");
    Database.start(
        "lapse",
        () -> {
          Database.sleep(3_600);
          store.delete("servers/" + each.id);
        });
  }

  void configure(long version, Route... routes) {
    StringBuilder text = new StringBuilder("{\"config_version\":" + version + ",\"routes\":[");
    for (int i = 0; i < routes.length; i++) {
      Route each = routes[i];
      text.append(i == 0 ? "" : ",")
          .append(
              ("{\"name\":\"r-%s\",\"db_name\":\"%s\",\"route_type\":\"%s\",\"timeout_ms\":%d,"
                      + "\"target_latency_ms\":%d,\"priority\":%d,\"service\":\"%s\","
                      + "\"max_staleness_ms\":%d}")
                  .formatted(
                      each.name(),
                      each.name(),
                      each.type(),
                      each.timeout(),
                      each.target(),
                      each.priority(),
                      SERVICE,
                      each.staleness()));
    }
    text.append("],\"services\":[{\"name\":\"" + SERVICE + "\",\"max_connections\":")
        .append(group.maxConnections)
        .append(",\"sync_replicas\":0}],\"limits\":{\"tx_idle_ms\":3000}}");
    store.write("op/config", text.toString());
  }

  Edge edge(String name, int graceSeconds) throws IOException {
    Edge edge = new Edge(folder, name, store.address(), graceSeconds);
    edges.add(edge);
    edge.start();
    return edge;
  }

  @Override
  public synchronized void close() {
    List.copyOf(edges).forEach(Edge::end);
    store.close();
    for (File each : Objects.requireNonNullElse(folder.toFile().listFiles(), new File[0])) {
      each.delete();
    }
    folder.toFile().delete();
  }
}
