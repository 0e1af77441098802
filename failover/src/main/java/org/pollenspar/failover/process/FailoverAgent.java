package org.pollenspar.failover.process;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.pollenspar.core.process.FailoverPolicy;
import org.pollenspar.core.process.FailoverPolicy.Answer;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.Rendezvous;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.core.version.GroupSpec;
import org.pollenspar.net.connection.PeerNetwork;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.net.version.FleetFeed;

/**
 * Watches the groups for which this agent is first, second or third in rendezvous order.
 *
 * <p>The cost depends on the watched groups, not on all groups: 700 groups among 900 agents are two
 * or three per agent.
 */
final class FailoverAgent implements AutoCloseable {
  static final Duration TICK = Duration.ofMillis(50);

  private static final int AGENTS_PER_GROUP = 3;
  private static final int HOMES_PER_GROUP = 3;

  /**
   * Time per tick for assigning groups after a change. Assigning 700 groups over 900 hosts takes
   * about 0.1 s, which at once would delay every group that is being replaced.
   */
  private static final long ASSIGN_BUDGET_NANOS = 10_000_000;

  private final String ownId;
  private final String ownDomain;
  private final FleetFeed feed;
  private final PeerNetwork network;
  private final PlatformCalls calls;
  private final ControlThread control;
  private final Timeline timeline;
  private final MetricRegistry registry;
  private final Map<String, WatchedGroup> watched = new TreeMap<>();
  private final Deque<GroupSpec> unassigned = new ArrayDeque<>();
  private List<Host> liveAgents = List.of();
  private List<Host> liveProxies = List.of();

  FailoverAgent(
      String ownId,
      String ownDomain,
      FleetFeed feed,
      PeerNetwork network,
      PlatformCalls calls,
      ControlThread control,
      Timeline timeline,
      MetricRegistry registry) {
    this.ownId = ownId;
    this.ownDomain = ownDomain;
    this.feed = feed;
    this.network = network;
    this.calls = calls;
    this.control = control;
    this.timeline = timeline;
    this.registry = registry;
  }

  void start() {
    feed.addListener(this::fleetChanged);
    var unused = control.scheduleRepeatedly(TICK, this::tick);
  }

  private void fleetChanged() {
    Map<String, GroupSpec> groups =
        feed.current().map(current -> current.file().groups()).orElse(Map.of());
    watched.keySet().retainAll(groups.keySet());
    liveAgents = feed.hosts().live(HostRole.FAILOVER).toList();
    liveProxies = feed.hosts().live(HostRole.PROXY).toList();
    unassigned.clear();
    unassigned.addAll(groups.values());
  }

  private void tick() {
    long start = control.nowNanos();
    while (!unassigned.isEmpty() && control.nowNanos() - start < ASSIGN_BUDGET_NANOS) {
      assign(unassigned.removeFirst());
    }
    List.copyOf(watched.values()).forEach(group -> group.tick(control.nowNanos()));
  }

  private void assign(GroupSpec group) {
    List<String> agents =
        Rendezvous.select(group.name(), liveAgents, AGENTS_PER_GROUP).stream()
            .map(Host::id)
            .toList();
    int order = agents.indexOf(ownId);
    if (order < 0) {
      watched.remove(group.name());
      return;
    }
    List<Host> homes = Rendezvous.select(group.name(), liveProxies, HOMES_PER_GROUP);
    watched
        .computeIfAbsent(group.name(), this::watch)
        .assign(homes, topology(group, order, homes, feed.hosts()));
  }

  private static FailoverPolicy.Topology topology(
      GroupSpec group, int order, List<Host> homes, HostList hosts) {
    Set<String> leaving =
        group.databases().stream()
            .filter(
                id -> hosts.hostOfDatabase(id).map(h -> !h.state().acceptsNewWork()).orElse(false))
            .collect(Collectors.toCollection(HashSet::new));
    return new FailoverPolicy.Topology(
        order,
        homes.stream().map(h -> new FailoverPolicy.HomeProxy(h.id(), h.domain())).toList(),
        group.databases(),
        leaving);
  }

  private WatchedGroup watch(String name) {
    return new WatchedGroup(name, network, calls, control, timeline, this::count);
  }

  private void count(String call, Answer answer) {
    registry.meter(call + "_" + answer.name().toLowerCase(Locale.ROOT)).mark();
  }

  /** Returns whether the agent knows the configuration and the hosts. */
  boolean ready() {
    return feed.current().isPresent() && feed.hosts().revision() > 0;
  }

  CompletionStage<? extends JsonNode> status() {
    return control.call(this::writeStatus);
  }

  private ObjectNode writeStatus() {
    ObjectNode node =
        JsonNodeFactory.instance
            .objectNode()
            .put("process", ownId)
            .put("role", "failover")
            .put("domain", ownDomain)
            .put("state", ready() ? "serving" : "starting")
            .put("config_version", feed.current().map(v -> v.version()).orElse(0L))
            .put("host_list_revision", feed.hosts().revision())
            .put("uptime_s", TimeUnit.MILLISECONDS.toSeconds(uptimeMillis()));
    var groups = node.putArray("groups");
    watched.values().forEach(group -> groups.add(group.status()));
    return node;
  }

  private static long uptimeMillis() {
    return java.lang.management.ManagementFactory.getRuntimeMXBean().getUptime();
  }

  @Override
  public void close() {
    calls.close();
  }
}
