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
 * A database that speaks the PostgreSQL protocol, keeps its rows in memory and replicates to the
 * other databases of its group. It starts as an empty replica; {@link #promote} or the platform
 * makes it the primary.
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
  private final DatabaseControl controlApi;

  /** Starts the database; refuses options out of range before it opens a socket. */
  public DatabaseStandin(DatabaseOptions options) {
    options.check();
    id = options.id;
    address = options.address;
    faults.lagMillis = options.lagMillis;
    SessionRegistry sessions = new SessionRegistry(options.maxConnections);
    engine =
        new DatabaseEngine(
            options.id, options.lockWaitMillis, counters, sessions::open, sessions::terminateAll);
    StatementWorkers service =
        new StatementWorkers(options.workers, (long) (options.serviceMillis * NANOS_PER_MILLI));
    ExecutorService threads = Executors.newCachedThreadPool(DatabaseStandin::queryThread);
    closer.register(threads::shutdownNow);
    Replication replication = closer.register(new Replication(engine, faults));
    DatabaseServerContext shared =
        new DatabaseServerContext(
            engine, service, faults, sessions, threads, options.connectMillis);
    server =
        closer.register(new SessionServer(new InetSocketAddress(address, options.port), shared));
    controlApi = new DatabaseControl(engine, counters, faults, service, sessions, replication);
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

  /** Returns the address of the control API, for other databases of the group. */
  public Peer peer() {
    return new Peer(id, address, controlPort());
  }

  /** Returns the faults to show. */
  public DatabaseFaults faults() {
    return faults;
  }

  /** Returns the state that a probe sees. */
  public DatabaseState state() {
    return engine.state();
  }

  /** Refuses terms below {@code term}; returns whether the order was accepted. */
  public boolean fence(long term) {
    return engine.fence(term);
  }

  /** Leads a term and replicates to the peers; returns whether the order was accepted. */
  public boolean promote(long term, List<Peer> peers) {
    return controlApi.promote(new PromoteRequest(term, peers));
  }

  /** Returns the JDBC URL. */
  public String jdbcUrl() {
    return "jdbc:postgresql://" + address + ":" + port() + "/standin?preferQueryMode=simple";
  }

  @Override
  public void close() {
    closer.close();
  }
}
