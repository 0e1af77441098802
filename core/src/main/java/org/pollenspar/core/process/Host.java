package org.pollenspar.core.process;

import java.util.List;

/**
 * An entry of the platform's host list: a process and its addresses.
 *
 * @param id unique name
 * @param address IP number
 * @param peerPort port for other processes of pollenspar; 0 if none
 * @param httpPort port for callers; 0 if none
 * @param adminPort port for operators; 0 if none
 * @param domain failure domain
 * @param region region
 * @param role what runs there
 * @param state whether it stays in the fleet or leaves
 * @param databases databases of a backend server; empty for other roles
 */
public record Host(
    String id,
    String address,
    int peerPort,
    int httpPort,
    int adminPort,
    String domain,
    String region,
    HostRole role,
    HostState state,
    List<DatabaseEndpoint> databases) {

  public Host {
    databases = List.copyOf(databases);
  }
}
