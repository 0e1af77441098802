package org.pollenspar.proxy.connection;

import java.util.concurrent.ThreadFactory;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.net.process.ControlThread;

/**
 * Settings and services that all connection pools of a proxy share.
 *
 * @param control thread that owns the state of all pools
 * @param login credentials for opening connections
 * @param threads creates the I/O thread of each connection
 * @param invariants checks invariants at run time
 * @param metrics counters of connections
 */
public record PoolContext(
    ControlThread control,
    DatabaseLogin login,
    ThreadFactory threads,
    InvariantChecker invariants,
    ConnectionMetrics metrics) {}
