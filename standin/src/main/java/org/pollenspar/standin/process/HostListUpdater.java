package org.pollenspar.standin.process;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostState;
import org.pollenspar.standin.version.HostRegistry;

/**
 * Applies changes to the host list and publishes each new list after {@link
 * PlatformFaults#hostLagMillis}, so readers see it late, as they do on a real platform.
 */
final class HostListUpdater {
  private final HostRegistry registry;
  private final PlatformFaults faults;
  private final ScheduledExecutorService scheduler;

  HostListUpdater(
      HostRegistry registry, PlatformFaults faults, ScheduledExecutorService scheduler) {
    this.registry = registry;
    this.faults = faults;
    this.scheduler = scheduler;
  }

  /** Adds a host, or replaces the one with the same id. */
  void add(Host host) {
    change(
        hosts -> {
          hosts.removeIf(h -> h.id().equals(host.id()));
          hosts.add(host);
          return hosts;
        });
  }

  void remove(String id) {
    change(
        hosts -> {
          hosts.removeIf(h -> h.id().equals(id));
          return hosts;
        });
  }

  void setState(String id, HostState state) {
    change(
        hosts -> {
          if (hosts.stream().noneMatch(h -> h.id().equals(id))) {
            throw new IllegalArgumentException("unknown host \"" + id + "\"");
          }
          hosts.replaceAll(h -> h.id().equals(id) ? withState(h, state) : h);
          return hosts;
        });
  }

  private void change(UnaryOperator<List<Host>> change) {
    HostList list = registry.change(change);
    long lag = faults.hostLagMillis;
    if (lag == 0) {
      registry.publish(list);
    } else {
      var unused = scheduler.schedule(() -> registry.publish(list), lag, TimeUnit.MILLISECONDS);
    }
  }

  private static Host withState(Host host, HostState state) {
    return new Host(
        host.id(),
        host.address(),
        host.peerPort(),
        host.httpPort(),
        host.adminPort(),
        host.domain(),
        host.region(),
        host.role(),
        state,
        host.databases());
  }
}
