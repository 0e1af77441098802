package org.pollenspar.proxy.connection;

import java.util.concurrent.ThreadFactory;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.net.process.ControlThread;

/**
 * What all connections of a proxy have in common.
 *
 * @param control owner of all pools
 * @param login how connections are opened
 * @param threads makes the threads of connections
 * @param invariants checks of the promises
 * @param metrics counters of connections
 */
public record PoolContext(
    ControlThread control,
    DatabaseLogin login,
    ThreadFactory threads,
    InvariantChecker invariants,
    ConnectionMetrics metrics) {}
