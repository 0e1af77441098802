package org.pollenspar.standin.connection;

import java.util.concurrent.ExecutorService;
import org.pollenspar.standin.version.DatabaseEngine;

/**
 * What the connections of one database share.
 *
 * @param engine data
 * @param workers capacity
 * @param faults faults to show
 * @param sessions open connections
 * @param threads runs queries; one query blocks one thread
 * @param connectMillis time to open a connection
 */
public record DatabaseServerContext(
    DatabaseEngine engine,
    StatementWorkers workers,
    DatabaseFaults faults,
    SessionRegistry sessions,
    ExecutorService threads,
    long connectMillis) {}
