package org.pollenspar.load.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.connection.GroupTracker;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.connection.SessionToken;
import org.pollenspar.core.process.DatabaseEndpoint;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.HostState;
import org.pollenspar.core.request.Rank;
import org.pollenspar.core.version.GroupSpec;
import org.pollenspar.wire.DatabaseReport;
import org.pollenspar.wire.DigestMessage;
import org.pollenspar.wire.Envelope;
import org.pollenspar.wire.GroupReportMessage;
import org.pollenspar.wire.GroupReportRequestMessage;

/**
 * Builds input of a given size, in the proportions of the largest fleet that the design allows for.
 */
final class SampleData {
  static final int DATABASES_PER_GROUP = 3;
  private static final int DOMAINS = 4;
  private static final int CONNECTIONS = 50;

  private SampleData() {}

  static List<Rank> ranks() {
    return List.of(
        new Rank(1, "urgent", 0, 100_000),
        new Rank(2, "order", 10, 100_000),
        new Rank(3, "report", 5, 100_000));
  }

  static GroupSpec group(int number) {
    String name = "group-%04d".formatted(number);
    return new GroupSpec(name, List.of(name + "-a", name + "-b", name + "-c"), CONNECTIONS);
  }

  static List<Host> proxies(int count) {
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      hosts.add(host("proxy-%04d".formatted(i), i, HostRole.PROXY, List.of()));
    }
    return hosts;
  }

  /**
   * Returns a host list with {@code nodes} proxies, as many failover agents, and one host for each
   * database of the groups.
   */
  static HostList hostList(int nodes, int groups) {
    List<Host> hosts = new ArrayList<>(proxies(nodes));
    for (int i = 0; i < nodes; i++) {
      hosts.add(host("failover-%04d".formatted(i), i, HostRole.FAILOVER, List.of()));
    }
    for (int i = 0; i < groups; i++) {
      GroupSpec group = group(i);
      for (String database : group.databases()) {
        DatabaseEndpoint endpoint = new DatabaseEndpoint(database, group.name(), 5432);
        hosts.add(host("host-" + database, i, HostRole.BACKEND_SERVER, List.of(endpoint)));
      }
    }
    return new HostList(1, hosts);
  }

  private static Host host(String id, int number, HostRole role, List<DatabaseEndpoint> databases) {
    String domain = "domain-" + number % DOMAINS;
    String region = "region-" + number % DOMAINS / 2;
    String address = "10.0.%d.%d".formatted(number / 250, number % 250);
    return new Host(id, address, 7000, 8080, 9090, domain, region, role, HostState.LIVE, databases);
  }

  static String fleetFile(int groups) {
    StringBuilder text =
        new StringBuilder(
            """
            deployment = "scale"
            key_retention_hours = 24
            max_statements = 20

            [ranks.urgent]
            level = 1
            floor_percent = 0
            queue_limit = 500

            [ranks.report]
            level = 2
            floor_percent = 10
            queue_limit = 500

            [kinds.filing]
            rank = "urgent"
            access = "write"
            repeatable = false
            deadline_ms = 2000

            [kinds.lookup]
            rank = "report"
            access = "read"
            staleness_ms = 1000
            repeatable = true
            deadline_ms = 1000
            """);
    for (int i = 0; i < groups; i++) {
      GroupSpec group = group(i);
      text.append(
          String.format(
              Locale.ROOT,
              "%n[groups.%s]%ndatabases = [\"%s\", \"%s\", \"%s\"]%nconnections_per_database ="
                  + " %d%n",
              group.name(),
              group.databases().get(0),
              group.databases().get(1),
              group.databases().get(2),
              group.connectionsPerDatabase()));
    }
    return text.toString();
  }

  static SessionToken session(int groups) {
    Map<String, Position> positions = new TreeMap<>();
    for (int i = 0; i < groups; i++) {
      positions.put(group(i).name(), new Position(3, 1_000_000L + i));
    }
    return new SessionToken("0123456789abcdef0123456789abcdef", positions);
  }

  static Envelope digest() {
    return envelope()
        .setDigest(
            DigestMessage.newBuilder().setConfigVersion(1_000_000).setHostListRevision(1_000_000))
        .build();
  }

  static Envelope reportRequest() {
    return envelope()
        .setGroupReportRequest(GroupReportRequestMessage.newBuilder().setGroup("group-0001"))
        .build();
  }

  static Envelope report() {
    GroupReportMessage.Builder report =
        GroupReportMessage.newBuilder().setGroup("group-0001").setHome(true).setDomain("domain-1");
    for (String database : group(1).databases()) {
      report.addDatabases(
          DatabaseReport.newBuilder()
              .setDatabase(database)
              .setRole("replica")
              .setFencedTerm(100)
              .setLogTerm(100)
              .setLogOffset(1_000_000_000)
              .setProbeAgeMillis(100));
    }
    return envelope().setGroupReport(report).build();
  }

  private static Envelope.Builder envelope() {
    return Envelope.newBuilder()
        .setRequestId(1_000_000)
        .setHlc(1_800_000_000_000L << 16)
        .setSender("failover-0001");
  }

  /**
   * Records one round of probe answers in the tracker, one for each database, all at this offset.
   */
  static void probeRound(GroupTracker tracker, long offset, long sentNanos) {
    List<String> ids = tracker.group().databases();
    for (int i = 0; i < ids.size(); i++) {
      DatabaseRole role = i == 0 ? DatabaseRole.PRIMARY : DatabaseRole.REPLICA;
      DatabaseState state = new DatabaseState(ids.get(i), role, 1, 1, offset, 10);
      tracker.observed(state, sentNanos, sentNanos + 500_000);
    }
  }
}
