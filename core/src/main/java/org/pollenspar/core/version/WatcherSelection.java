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
 * Selects the processes that watch the platform: the first live proxies of each failure domain in
 * rendezvous order. Every process computes the same selection from the same host list. When a
 * watcher leaves the list, the next proxy in this order takes its place.
 */
final class WatcherSelection {
  private static final String RENDEZVOUS_NAME = "watchers";

  private WatcherSelection() {}

  static Map<String, Host> watchers(HostList list, int perDomain) {
    Map<String, List<Host>> byDomain =
        list.live(HostRole.PROXY).collect(Collectors.groupingBy(Host::domain));
    Map<String, Host> chosen = new TreeMap<>();
    byDomain
        .values()
        .forEach(
            hosts ->
                Rendezvous.select(RENDEZVOUS_NAME, hosts, perDomain)
                    .forEach(host -> chosen.put(host.id(), host)));
    return chosen;
  }
}
