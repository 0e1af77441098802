package org.pollenspar.failover.process;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.DatabaseEndpoint;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.Rendezvous;
import org.pollenspar.core.version.FleetFile;
import org.pollenspar.core.version.GroupSpec;
import org.pollenspar.net.version.FleetFeed;

/**
 * Watches the groups for which this agent is one of the first agents in rendezvous order.
 *
 * <p>Every agent computes the same order from the host list, so agents need neither an election nor
 * hosts that are reserved for a group. Agents whose host lists differ may both act on a group; this
 * is safe, because the platform grants each term to one owner. All state is confined to the control
 * thread.
 */
public final class FailoverAgent implements AutoCloseable {
  /** Number of agents that watch each group; two of them may fail at the same time. */
  private static final int AGENTS_PER_GROUP = 3;

  private static final int HOMES_PER_GROUP = 3;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

  private final AgentContext context;
  private final FleetFeed feed;
  private final Map<String, GroupWatch> watches = new HashMap<>();
  private @Nullable Future<?> ticker;

  /** Creates an agent, which does nothing before {@link #start}. */
  FailoverAgent(AgentContext context, FleetFeed feed) {
    this.context = context;
    this.feed = feed;
  }

  /** Starts to watch groups, and follows changes of the host list and the fleet file. */
  public void start() {
    feed.addListener(this::assignGroups);
    context.control().execute(this::assignGroups);
    ticker = context.control().scheduleRepeatedly(TICK_INTERVAL, this::tick);
  }

  private void tick() {
    long now = context.control().nowNanos();
    watches.values().forEach(watch -> watch.tick(now));
  }

  /** Recomputes which groups to watch, after a change of the host list or the fleet file. */
  private void assignGroups() {
    Map<String, GroupSpec> groups =
        feed.current().map(version -> version.file()).map(FleetFile::groups).orElse(Map.of());
    HostList hosts = feed.hosts();
    List<Host> agents = hosts.live(HostRole.FAILOVER).toList();
    List<Host> proxies = hosts.live(HostRole.PROXY).toList();
    watches.keySet().retainAll(groups.keySet());
    for (GroupSpec group : groups.values()) {
      assignGroup(group, hosts, agents, proxies);
    }
  }

  private void assignGroup(GroupSpec group, HostList hosts, List<Host> agents, List<Host> proxies) {
    List<String> order =
        Rendezvous.select(group.name(), agents, AGENTS_PER_GROUP).stream().map(Host::id).toList();
    int place = order.indexOf(context.agentId());
    if (place < 0) {
      watches.remove(group.name());
      return;
    }
    watches
        .computeIfAbsent(
            group.name(), name -> new GroupWatch(name, group.databases().size(), context))
        .assign(
            place,
            Rendezvous.select(group.name(), proxies, HOMES_PER_GROUP),
            leavingDatabases(hosts));
  }

  private static Set<String> leavingDatabases(HostList hosts) {
    return hosts.hosts().stream()
        .filter(host -> !host.state().acceptsNewWork())
        .flatMap(host -> host.databases().stream())
        .map(DatabaseEndpoint::id)
        .collect(Collectors.toSet());
  }

  /** Returns this agent's place and its suspicion per watched group. Control thread only. */
  Map<String, String> status() {
    Map<String, String> status = new TreeMap<>();
    watches.forEach(
        (group, watch) -> status.put(group, "place " + watch.place() + " " + watch.suspicion()));
    return status;
  }

  @Override
  public void close() {
    if (ticker != null) {
      ticker.cancel(false);
    }
  }
}
