import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A service of three databases as PROTOCOL.md describes it: replication, promotion, heartbeats into the store, and the
 * removal of entries after three intervals of silence. Its lock guards the state of all its databases.
 */
final class Group {
  private static final long HEARTBEAT_MS = 1_200;
  private static final long PROMOTE_MS = 300;
  private static final long STEP_DOWN_AFTER_MS = 1_000;
  final String name;
  final Store store;
  final List<Database> databases = new ArrayList<>();

  /** How many replicas must have received a commit before it is acknowledged. */
  volatile int syncReplicas;

  /** Acknowledged commits of callers, as the databases answered them: term, number and statement. */
  final List<Database.Commit> acknowledged = new ArrayList<>();

  Group(String name, Store store) throws IOException {
    this.name = name;
    this.store = store;
    for (int i = 0; i < 3; i++) {
      databases.add(new Database(this, "i-" + name + i, i == 0));
    }
    databases.forEach(Database::register);
    Case.background(
        "replication",
        () -> {
          while (true) {
            replicate();
            Case.pause(1);
          }
        });
    Case.background(
        "heartbeats",
        () -> {
          while (true) {
            beat();
            Case.pause(50);
          }
        });
  }

  Database database(int index) {
    return databases.get(index);
  }

  /** Returns the database that leads the newest term; null if it doesn't run. */
  synchronized Database leader() {
    Database leader = null;
    for (Database each : databases) {
      if (each.primary && (leader == null || each.term > leader.term)) {
        leader = each;
      }
    }
    return leader == null || !leader.running() ? null : leader;
  }

  private synchronized void replicate() {
    Database leader = leader();
    for (Database each : databases) {
      if (leader == null || each == leader || !each.running() || each.deaf || leader.deaf) {
        each.reachesLeaderSince = 0;
        continue;
      }
      if (each.primary) {
        if (each.reachesLeaderSince == 0) {
          each.reachesLeaderSince = Case.now();
        } else if (Case.now() - each.reachesLeaderSince > STEP_DOWN_AFTER_MS) {
          each.becomeReplica();
        }
      } else {
        each.receiveFrom(leader);
      }
    }
    notifyAll();
  }

  private void beat() {
    for (Database each : databases) {
      if (each.running() && Case.now() - each.lastBeat >= HEARTBEAT_MS) {
        each.register();
      } else if (Case.now() - each.lastBeat > 3 * HEARTBEAT_MS && store.text(each.key()) != null) {
        store.delete(each.key());
        Case.note("store: entry of " + each.id + " removed after three silent intervals");
      }
    }
  }

  /** Executes a promotion call; returns false if the database isn't running. */
  boolean promote(String id) {
    Database chosen = null;
    for (Database each : databases) {
      chosen = each.id.equals(id) ? each : chosen;
    }
    if (chosen == null || !chosen.running()) {
      return false;
    }
    if (chosen == leader()) {
      return true;
    }
    Database next = chosen;
    Case.background(
        "promote",
        () -> {
          Case.pause(PROMOTE_MS);
          lead(next);
        });
    return true;
  }

  private synchronized void lead(Database next) {
    if (!next.running() || next == leader()) {
      return;
    }
    long term = 0;
    for (Database each : databases) {
      term = Math.max(term, each.term);
    }
    next.lead(term + 1);
    Case.note("platform: " + next.id + " leads term " + next.term + ", its log ends at " + next.received());
    Case.note("platform: " + lacking(next));
    next.register();
    notifyAll();
  }

  /** Says which acknowledged commits the log of a database lacks. */
  synchronized String lacking(Database database) {
    Set<String> lacking = new TreeSet<>();
    for (Database.Commit each : acknowledged) {
      if (!database.log.contains(each)) {
        lacking.add(each.statement());
      }
    }
    return lacking.isEmpty()
        ? "no acknowledged commit is missing there"
        : "acknowledged commits that it lacks: " + lacking;
  }

  /** Returns the entry of this group under services in the configuration. */
  ObjectNode configuration(int maxConnections) {
    return Store.JSON
        .createObjectNode()
        .put("name", name)
        .put("health_path", "/healthz")
        .put("max_connections", maxConnections)
        .put("sync_replicas", syncReplicas);
  }

  /** Returns an entry under routes in the configuration. */
  ObjectNode route(String database, String type, int priority) {
    return Store.JSON
        .createObjectNode()
        .put("name", "r-" + database)
        .put("db_name", database)
        .put("prefix", "/")
        .put("route_type", type)
        .put("timeout_ms", 800)
        .put("target_latency_ms", 250)
        .put("priority", priority)
        .put("service", name)
        .put("attempts", 2)
        .put("max_staleness_ms", 2_500);
  }

  /** Writes a configuration, as the operator does; returns when the store has acknowledged it. */
  static void configure(Store store, long version, List<ObjectNode> routes, List<ObjectNode> services) {
    ObjectNode configuration = Store.JSON.createObjectNode().put("config_version", version);
    routes.forEach(configuration.putArray("routes")::add);
    services.forEach(configuration.putArray("services")::add);
    configuration.putObject("limits").put("tx_idle_ms", 3_000);
    store.write("op/config", configuration.toString());
    Case.note("operator: configuration " + version + " acknowledged");
  }
}
