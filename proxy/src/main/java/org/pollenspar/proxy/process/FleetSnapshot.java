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
 * The configuration version and the host list at one moment, and the homes that follow from the
 * list. Immutable but for a cache; a new one is made for each change.
 */
public final class FleetSnapshot {
  /** Proxies that serve a group. */
  public static final int HOMES = 3;

  /**
   * Proxies that accept work for a group. Host lists of two proxies differ for a while, so a proxy
   * may be a home by the sender's list and not yet by its own.
   */
  public static final int CANDIDATES = 6;

  private final Optional<FleetVersion> version;
  private final HostList hosts;
  private final Map<String, List<Host>> candidates = new ConcurrentHashMap<>();

  /** Creates the view. */
  public FleetSnapshot(Optional<FleetVersion> version, HostList hosts) {
    this.version = version;
    this.hosts = hosts;
  }

  /** Returns the configuration version in force; empty before the first. */
  public Optional<FleetVersion> version() {
    return version;
  }

  /** Returns the host list. */
  public HostList hosts() {
    return hosts;
  }

  /** Returns the proxies that accept work for a group, the homes first. */
  public List<Host> candidates(String group) {
    return candidates.computeIfAbsent(
        group, name -> Rendezvous.select(name, hosts.live(HostRole.PROXY).toList(), CANDIDATES));
  }

  /** Returns the homes of a group. */
  public List<Host> homes(String group) {
    List<Host> all = candidates(group);
    return all.subList(0, Math.min(HOMES, all.size()));
  }

  /** Returns whether a proxy is a home of a group. */
  public boolean isHome(String group, String hostId) {
    return homes(group).stream().anyMatch(host -> host.id().equals(hostId));
  }

  /** Returns whether a proxy accepts work for a group. */
  public boolean isCandidate(String group, String hostId) {
    return candidates(group).stream().anyMatch(host -> host.id().equals(hostId));
  }
}
