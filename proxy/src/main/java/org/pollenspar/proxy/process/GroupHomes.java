package org.pollenspar.proxy.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.pollenspar.core.connection.ConnectionShare;
import org.pollenspar.core.process.DatabaseEndpoint;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.WorkRequest;
import org.pollenspar.core.version.FleetFile;
import org.pollenspar.core.version.GroupSpec;
import org.pollenspar.proxy.connection.DatabaseAddress;
import org.pollenspar.proxy.connection.GroupHome;
import org.pollenspar.proxy.connection.HomeContext;
import org.pollenspar.proxy.connection.HomeReport;

/**
 * The homes on this proxy, one per group. Driven by the control thread, except for {@link
 * #lastQueueLength}.
 *
 * <p>The proxy opens a home as soon as its host list makes it a home of a group. A proxy that is
 * only a candidate for the group opens a home when the first request arrives, and closes it when no
 * request has arrived for 30 s. If the proxy is no candidate any more, or the group is no longer
 * declared, the home is retired: it returns requests that have not started and is closed once the
 * others are answered.
 */
public final class GroupHomes {
  private static final long UNUSED_LIMIT_NANOS = 30_000_000_000L;

  private final String ownId;
  private final HomeContext context;
  private final Timeline timeline;
  private final Map<String, OpenHome> homes = new HashMap<>();
  private final Map<String, Integer> lastQueueLengths = new ConcurrentHashMap<>();
  private FleetSnapshot fleet = new FleetSnapshot(Optional.empty(), HostList.EMPTY);
  private boolean draining;

  /** A home, whether it is retired, and when it was last needed. */
  private static final class OpenHome {
    final GroupHome home;
    boolean retired;
    long lastUsedNanos;

    OpenHome(GroupHome home) {
      this.home = home;
    }
  }

  /** Creates a collection without homes. */
  public GroupHomes(String ownId, HomeContext context, Timeline timeline) {
    this.ownId = ownId;
    this.context = context;
    this.timeline = timeline;
  }

  /** Applies a new configuration version or host list. */
  public void update(FleetSnapshot newFleet) {
    fleet = newFleet;
    Map<String, GroupSpec> groups =
        newFleet.version().map(version -> version.file().groups()).orElse(Map.of());
    for (String name : groups.keySet()) {
      if (newFleet.isHome(name, ownId) && !draining) {
        openHome(name);
      }
    }
    homes.forEach(this::refresh);
  }

  private void refresh(String group, OpenHome openHome) {
    Optional<FleetFile> file = fleet.version().map(version -> version.file());
    Optional<GroupSpec> spec = file.map(f -> f.groups().get(group));
    if (spec.isEmpty() || !fleet.isCandidate(group, ownId)) {
      retire(group, openHome);
      return;
    }
    updateHome(openHome.home, spec.get(), file.get());
  }

  private void updateHome(GroupHome home, GroupSpec spec, FleetFile file) {
    int homeCount = Math.max(1, fleet.homes(spec.name()).size());
    int share = new ConnectionShare(spec.connectionsPerDatabase(), homeCount, homeCount).share();
    home.update(spec, file.ranks().values(), addresses(spec), share);
  }

  private List<DatabaseAddress> addresses(GroupSpec spec) {
    List<DatabaseAddress> addresses = new ArrayList<>();
    for (Host host : fleet.hosts().hosts()) {
      if (host.role() != HostRole.BACKEND_SERVER) {
        continue;
      }
      for (DatabaseEndpoint database : host.databases()) {
        if (spec.databases().contains(database.id())) {
          addresses.add(
              new DatabaseAddress(
                  database.id(),
                  host.address(),
                  database.port(),
                  host.domain(),
                  !host.state().acceptsNewWork()));
        }
      }
    }
    return addresses;
  }

  private OpenHome openHome(String group) {
    OpenHome openHome = homes.get(group);
    if (openHome == null) {
      FleetFile file = fleet.version().orElseThrow().file();
      GroupSpec spec = java.util.Objects.requireNonNull(file.groups().get(group));
      openHome = new OpenHome(new GroupHome(context, spec, file.ranks().values()));
      homes.put(group, openHome);
      updateHome(openHome.home, spec, file);
      timeline.record("home_gained", group, ownId);
    } else if (openHome.retired) {
      openHome.retired = false;
      openHome.home.resume();
      timeline.record("home_gained", group, ownId);
    }
    openHome.lastUsedNanos = context.pools().control().nowNanos();
    return openHome;
  }

  private void retire(String group, OpenHome openHome) {
    if (!openHome.retired) {
      openHome.retired = true;
      openHome.home.retire();
      timeline.record("home_lost", group, ownId);
    }
  }

  /**
   * Submits a request.
   *
   * @return the outcome; empty if this proxy accepts no requests for the group or returns the
   *     request unstarted
   */
  public CompletableFuture<Optional<Outcome>> submit(WorkRequest request) {
    String group = request.group();
    boolean declared = fleet.version().map(v -> v.file().groups().containsKey(group)).orElse(false);
    if (draining || !declared || !fleet.isCandidate(group, ownId)) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return openHome(group).home.submit(request);
  }

  /** Returns how many requests waited for a group at the last tick; safe on any thread. */
  public int lastQueueLength(String group) {
    return lastQueueLengths.getOrDefault(group, 0);
  }

  /** Returns the report on a group; empty if this proxy has no home of it or retires it. */
  public Optional<HomeReport> report(String group) {
    return Optional.ofNullable(homes.get(group))
        .filter(openHome -> !openHome.retired)
        .map(openHome -> openHome.home.report());
  }

  /** Returns the reports of all homes by group. */
  public Map<String, HomeReport> reports() {
    Map<String, HomeReport> reports = new TreeMap<>();
    homes.forEach((group, openHome) -> reports.put(group, openHome.home.report()));
    return reports;
  }

  /** Forwards the tick to all homes and closes those that are no longer needed. */
  public void tick() {
    homes.forEach(
        (group, openHome) -> {
          openHome.home.tick();
          lastQueueLengths.put(group, openHome.home.queueLength());
        });
    long now = context.pools().control().nowNanos();
    Set<String> finished =
        homes.entrySet().stream()
            .filter(home -> finished(home.getKey(), home.getValue(), now))
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet());
    for (String group : finished) {
      OpenHome openHome = homes.remove(group);
      if (openHome != null) {
        retire(group, openHome);
        openHome.home.close();
        lastQueueLengths.remove(group);
      }
    }
  }

  private boolean finished(String group, OpenHome openHome, long nowNanos) {
    if (openHome.home.running() > 0 || draining) {
      return false;
    }
    boolean unused =
        !fleet.isHome(group, ownId) && nowNanos - openHome.lastUsedNanos > UNUSED_LIMIT_NANOS;
    return openHome.retired || unused;
  }

  /** Stops accepting requests and returns those that have not started. */
  public void drain() {
    draining = true;
    homes.values().forEach(openHome -> openHome.home.retire());
  }

  /** Returns the number of requests at all homes that are not answered. */
  public int running() {
    return homes.values().stream().mapToInt(openHome -> openHome.home.running()).sum();
  }

  /** Closes all homes and their connections. */
  public void close() {
    homes.values().forEach(openHome -> openHome.home.close());
    homes.clear();
  }
}
