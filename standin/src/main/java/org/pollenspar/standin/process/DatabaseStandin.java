package org.pollenspar.standin.process;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.process.Closer;
import org.pollenspar.net.process.HttpService;
import org.pollenspar.standin.connection.DatabaseFaults;
import org.pollenspar.standin.connection.DatabaseServerContext;
import org.pollenspar.standin.connection.SessionRegistry;
import org.pollenspar.standin.connection.SessionServer;
import org.pollenspar.standin.connection.StatementWorkers;
import org.pollenspar.standin.version.DatabaseEngine;
import org.pollenspar.standin.version.EngineCounters;

/**
 * Stand-in of a database: it speaks the PostgreSQL protocol, keeps its rows in memory and, as the
 * primary, replicates its log to the other databases of its group. It starts as an empty replica;
 * {@link #promote} or the platform makes it the primary.
 */
public final class DatabaseStandin implements AutoCloseable {
  private static final int MAX_CONTROL_BODY_BYTES = 32 << 20;
  private static final Duration CONTROL_READ_TIMEOUT = Duration.ofSeconds(10);
  private static final int CONTROL_THREADS = 2;
  private static final double NANOS_PER_MILLI = 1e6;

  private final Closer closer = new Closer();
  private final String id;
  private final String address;
  private final DatabaseFaults faults = new DatabaseFaults();
  private final EngineCounters counters = new EngineCounters();
  private final DatabaseEngine engine;
  private final SessionServer server;
  private final HttpService control;
  private final DatabaseControlApi controlApi;

  /** Starts the database; options out of range are rejected before a socket is opened. */
  public DatabaseStandin(DatabaseOptions options) {
    options.validate();
    id = options.id;
    address = options.address;
    faults.lagMillis = options.lagMillis;
    SessionRegistry sessions = new SessionRegistry(options.maxConnections);
    engine =
        new DatabaseEngine(
            options.id, options.lockWaitMillis, counters, sessions::open, sessions::terminateAll);
    StatementWorkers serviceTime =
        new StatementWorkers(options.workers, (long) (options.serviceMillis * NANOS_PER_MILLI));
    ExecutorService queryExecutor = Executors.newCachedThreadPool(DatabaseStandin::queryThread);
    closer.register(queryExecutor::shutdownNow);
    Replication replication = closer.register(new Replication(engine, faults));
    DatabaseServerContext sessionContext =
        new DatabaseServerContext(
            engine, serviceTime, faults, sessions, queryExecutor, options.connectMillis);
    server =
        closer.register(
            new SessionServer(new InetSocketAddress(address, options.port), sessionContext));
    controlApi =
        new DatabaseControlApi(engine, counters, faults, serviceTime, sessions, replication);
    control =
        closer.register(
            new HttpService(
                "database-control",
                new InetSocketAddress(address, options.controlPort),
                MAX_CONTROL_BODY_BYTES,
                CONTROL_READ_TIMEOUT,
                CONTROL_THREADS,
                controlApi));
    control.start();
  }

  private static Thread queryThread(Runnable task) {
    Thread thread = new Thread(task, "database-query");
    thread.setDaemon(true);
    return thread;
  }

  /** Returns the port of the PostgreSQL protocol. */
  public int port() {
    return server.port();
  }

  /** Returns the port of the control API. */
  public int controlPort() {
    return control.port();
  }

  /** Returns how other databases of the group reach the control API. */
  public ReplicationPeer peer() {
    return new ReplicationPeer(id, address, controlPort());
  }

  /** Returns the injected faults; a test changes them while the database runs. */
  public DatabaseFaults faults() {
    return faults;
  }

  /** Returns the state that the platform and health probes read. */
  public DatabaseState state() {
    return engine.state();
  }

  /** Makes the database refuse terms below {@code term}; returns whether it accepts the fence. */
  public boolean fence(long term) {
    return engine.fence(term);
  }

  /** Makes the database the primary of a term; returns whether it accepts the promotion. */
  public boolean promote(long term, List<ReplicationPeer> peers) {
    return controlApi.promote(new PromoteRequest(term, peers));
  }

  public String jdbcUrl() {
    return "jdbc:postgresql://" + address + ":" + port() + "/standin?preferQueryMode=simple";
  }

  @Override
  public void close() {
    closer.close();
  }
}
