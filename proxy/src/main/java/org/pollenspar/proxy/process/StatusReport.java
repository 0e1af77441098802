package org.pollenspar.proxy.process;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.connection.Primary;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.proxy.connection.HomeReport;

/** Writes the JSON of {@code GET /status}. */
final class StatusReport {
  private static final JsonMapper MAPPER = JsonMapper.builder().build();

  private final ProxyOptions options;
  private final InvariantChecker invariants;
  private final MetricRegistry registry;

  StatusReport(ProxyOptions options, InvariantChecker invariants, MetricRegistry registry) {
    this.options = options;
    this.invariants = invariants;
    this.registry = registry;
  }

  ObjectNode write(ProxyState state, FleetSnapshot fleet, Map<String, HomeReport> homes) {
    ObjectNode node =
        MAPPER
            .createObjectNode()
            .put("process", options.hostId())
            .put("role", "proxy")
            .put("domain", options.domain())
            .put("state", state.statusName())
            .put("policy", options.policy().settingName())
            .put("config_version", fleet.version().map(v -> v.version()).orElse(0L))
            .put("host_list_revision", fleet.hosts().revision());
    ObjectNode groups = node.putObject("groups");
    homes.forEach((group, report) -> writeGroup(groups.putObject(group), report));
    writeInvariants(node.putObject("invariants"));
    ObjectNode counters = node.putObject("counters");
    registry.getCounters().forEach((name, counter) -> counters.put(name, counter.getCount()));
    return node;
  }

  private static void writeGroup(ObjectNode node, HomeReport report) {
    node.put("primary", report.primary().map(Primary::databaseId).orElse(null));
    node.put("term", report.term());
    node.put("running", report.running());
    node.put("parked", report.parked());
    ObjectNode primaryQueue = node.putObject("primary_queue");
    report.primaryQueue().forEach(primaryQueue::put);
    ObjectNode replicaQueue = node.putObject("replica_queue");
    report.replicaQueue().forEach(replicaQueue::put);
    ObjectNode databases = node.putObject("databases");
    for (HomeReport.Database database : report.databases()) {
      writeDatabase(databases.putObject(database.id()), database);
    }
  }

  private static void writeDatabase(ObjectNode node, HomeReport.Database database) {
    node.put("usable", database.usable())
        .put("leaving", database.leaving())
        .put("connections", database.connections())
        .put("busy", database.busy())
        .put("limit", database.limit());
    if (database.probeAgeNanos().isPresent()) {
      long age = TimeUnit.NANOSECONDS.toMillis(database.probeAgeNanos().getAsLong());
      node.put("probe_age_ms", age);
    }
    database.state().ifPresent(state -> writeState(node, state));
  }

  private static void writeState(ObjectNode node, DatabaseState state) {
    node.put("role", state.role().wireName())
        .put("fenced_term", state.fencedTerm())
        .put("log_term", state.logTerm())
        .put("log_offset", state.logOffset());
  }

  private void writeInvariants(ObjectNode node) {
    for (Invariant invariant : Invariant.values()) {
      node.putObject(invariant.promise())
          .put("description", invariant.description())
          .put("checks", invariants.checks(invariant))
          .put("violations", invariants.violations(invariant));
    }
  }
}
