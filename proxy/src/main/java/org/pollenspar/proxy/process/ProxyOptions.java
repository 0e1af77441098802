package org.pollenspar.proxy.process;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.pollenspar.proxy.connection.DatabaseLogin;
import org.pollenspar.proxy.connection.HomePolicy;

/**
 * Options of a proxy, fixed at its start.
 *
 * @param hostId id of this host in the host list
 * @param domain failure domain of this host
 * @param callers address of the listener for callers
 * @param operators address of the listener for operators
 * @param tokenSecret secret that session tokens are signed with, shared by all proxies
 * @param login credentials for connections to databases
 * @param policy standard or baseline
 * @param drainTimeout longest wait of a shutdown for requests in progress
 * @param threads number of threads that serve callers
 */
public record ProxyOptions(
    String hostId,
    String domain,
    InetSocketAddress callers,
    InetSocketAddress operators,
    String tokenSecret,
    DatabaseLogin login,
    HomePolicy policy,
    Duration drainTimeout,
    int threads) {}
