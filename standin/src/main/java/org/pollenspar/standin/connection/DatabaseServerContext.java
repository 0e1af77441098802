package org.pollenspar.standin.connection;

import java.util.concurrent.ExecutorService;
import org.pollenspar.standin.version.DatabaseEngine;

/**
 * State that all connections to one database share.
 *
 * @param engine data and role of the database
 * @param workers limits how many statements run at once
 * @param faults faults to inject
 * @param sessions open connections
 * @param threads executes queries; each query blocks a thread while it runs
 * @param connectMillis simulated time to open a connection, in milliseconds
 */
public record DatabaseServerContext(
    DatabaseEngine engine,
    StatementWorkers workers,
    DatabaseFaults faults,
    SessionRegistry sessions,
    ExecutorService threads,
    long connectMillis) {}
