package org.pollenspar.proxy.process;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.Rendezvous;
import org.pollenspar.core.version.FleetVersion;

/**
 * A configuration version together with a host list, and the homes of each group that follow from
 * the host list by rendezvous hashing. Immutable except for a cache; each change of either creates
 * a new snapshot. Safe for use by several threads.
 */
public final class FleetSnapshot {
  /** Number of proxies that are homes of a group. */
  public static final int HOMES = 3;

  /**
   * Number of proxies that accept requests for a group. It is larger than {@link #HOMES} because
   * the host lists of two proxies can differ for a while: a proxy may be a home according to the
   * sender's list but not yet according to its own.
   */
  public static final int CANDIDATES = 6;

  private final Optional<FleetVersion> version;
  private final HostList hosts;
  private final Map<String, List<Host>> candidates = new ConcurrentHashMap<>();

  /** Creates a snapshot; the version is empty before the first configuration. */
  public FleetSnapshot(Optional<FleetVersion> version, HostList hosts) {
    this.version = version;
    this.hosts = hosts;
  }

  public Optional<FleetVersion> version() {
    return version;
  }

  public HostList hosts() {
    return hosts;
  }

  /** Returns the proxies that accept requests for a group, the homes first. */
  public List<Host> candidates(String group) {
    return candidates.computeIfAbsent(
        group, name -> Rendezvous.select(name, hosts.live(HostRole.PROXY).toList(), CANDIDATES));
  }

  /** Returns the homes of a group, at most {@link #HOMES}. */
  public List<Host> homes(String group) {
    List<Host> all = candidates(group);
    return all.subList(0, Math.min(HOMES, all.size()));
  }

  public boolean isHome(String group, String hostId) {
    return homes(group).stream().anyMatch(host -> host.id().equals(hostId));
  }

  /** Returns whether a proxy accepts requests for a group. */
  public boolean isCandidate(String group, String hostId) {
    return candidates(group).stream().anyMatch(host -> host.id().equals(hostId));
  }
}
