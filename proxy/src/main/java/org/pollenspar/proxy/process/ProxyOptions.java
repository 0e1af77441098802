package org.pollenspar.proxy.process;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.pollenspar.proxy.connection.DatabaseLogin;
import org.pollenspar.proxy.connection.HomePolicy;

/**
 * What a proxy is told at its start.
 *
 * @param hostId id in the host list
 * @param domain failure domain
 * @param callers where callers connect
 * @param operators where operators connect
 * @param tokenSecret secret of session tokens, shared by all proxies
 * @param login how connections to databases are opened
 * @param policy standard or baseline
 * @param drainTimeout longest time that a shutdown waits for work in progress
 * @param threads threads that serve callers
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
