package org.pollenspar.core.process;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The platform's list of hosts. It may be out of date: the platform updates it with a delay.
 *
 * @param revision grows with each change; 0 for the empty list before the first answer
 * @param hosts all hosts, live and leaving
 */
public record HostList(long revision, List<Host> hosts) {
  /** The list before the platform's first answer. */
  public static final HostList EMPTY = new HostList(0, List.of());

  public HostList {
    hosts = List.copyOf(hosts);
  }

  /** Returns the hosts of a role that accept new work. */
  public Stream<Host> live(HostRole role) {
    return hosts.stream().filter(h -> h.role() == role && h.state().acceptsNewWork());
  }

  public Optional<Host> host(String id) {
    return hosts.stream().filter(h -> h.id().equals(id)).findFirst();
  }

  /** Returns the backend server that runs a database. */
  public Optional<Host> hostOfDatabase(String databaseId) {
    return hosts.stream()
        .filter(h -> h.databases().stream().anyMatch(d -> d.id().equals(databaseId)))
        .findFirst();
  }
}
