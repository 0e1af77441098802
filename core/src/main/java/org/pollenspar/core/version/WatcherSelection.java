package org.pollenspar.core.version;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.Rendezvous;

/**
 * Chooses the processes that watch the platform: the first live proxies of each failure domain in
 * rendezvous order. Every process computes the same choice from the same list; when a watcher
 * leaves the list, the next in order takes its place.
 */
final class WatcherSelection {
  private static final String NAME = "watchers";

  private WatcherSelection() {}

  static Map<String, Host> watchers(HostList list, int perDomain) {
    Map<String, List<Host>> byDomain =
        list.live(HostRole.PROXY).collect(Collectors.groupingBy(Host::domain));
    Map<String, Host> chosen = new TreeMap<>();
    byDomain
        .values()
        .forEach(
            hosts ->
                Rendezvous.select(NAME, hosts, perDomain)
                    .forEach(host -> chosen.put(host.id(), host)));
    return chosen;
  }
}
