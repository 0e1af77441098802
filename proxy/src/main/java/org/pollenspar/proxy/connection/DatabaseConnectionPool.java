package org.pollenspar.proxy.connection;

import java.sql.SQLException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pollenspar.core.connection.ConcurrencyLimit;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.net.process.ControlThread;

/**
 * The connections of one home to one database. Driven by the control thread, so it needs no locks;
 * only the connections' own threads do I/O.
 *
 * <p>Invariant: a connection is idle, or belongs to exactly one request from checkout to return
 * (P3). One that is not known to be clean on return is closed, since its next answer might belong
 * to the request before.
 */
public final class DatabaseConnectionPool implements PooledConnection.OpenListener {
  private static final long FIRST_BACKOFF_NANOS = 50_000_000L;
  private static final long MAX_BACKOFF_NANOS = 1_000_000_000L;
  private static final long IDLE_LIMIT_NANOS = 60_000_000_000L;

  private final PoolContext context;
  private final ControlThread control;
  private final InvariantChecker invariants;
  private final ConcurrencyLimit limit;
  private final Runnable onReady;
  private final Deque<PooledConnection> idle = new ArrayDeque<>();
  private final Set<PooledConnection> busy = new HashSet<>();
  private final Set<PooledConnection> opening = new HashSet<>();
  private DatabaseAddress address;
  private long backoffNanos;
  private long openAfterNanos;
  private boolean closed;

  /**
   * Creates an empty pool.
   *
   * @param share connections that this home may hold
   * @param onReady called when a connection became idle
   */
  DatabaseConnectionPool(
      PoolContext context, DatabaseAddress address, int share, Runnable onReady) {
    this.context = context;
    this.control = context.control();
    this.invariants = context.invariants();
    this.address = address;
    this.limit = new ConcurrencyLimit(share);
    this.onReady = onReady;
    this.openAfterNanos = control.nowNanos();
  }

  DatabaseAddress address() {
    return address;
  }

  /** Takes a new address; connections to another listener are closed when they end. */
  void setAddress(DatabaseAddress newAddress) {
    boolean moved = !newAddress.sameListener(address);
    address = newAddress;
    if (moved) {
      closeIdle();
      openAfterNanos = control.nowNanos();
    }
  }

  /** Returns how many requests may run at once now. */
  int limit() {
    return limit.limit(control.nowNanos());
  }

  void setShare(int share) {
    limit.share(share);
  }

  int busy() {
    return busy.size();
  }

  int open() {
    return busy.size() + idle.size();
  }

  /** Returns whether a request could start now. */
  boolean ready() {
    return !closed && !idle.isEmpty() && busy.size() < limit();
  }

  /** Returns whether connections can be opened, so that waiting for one makes sense. */
  boolean reachable() {
    return !closed && (backoffNanos == 0 || open() > 0);
  }

  /** Opens connections until {@code wanted} requests could start, within the limit. */
  void grow(int wanted) {
    long now = control.nowNanos();
    if (closed || now - openAfterNanos < 0) {
      return;
    }
    int room = limit() - open() - opening.size();
    int missing = Math.min(room, wanted - idle.size() - opening.size());
    // After a failure one attempt shows whether the database is back.
    int attempts = backoffNanos == 0 ? missing : Math.min(missing, 1 - opening.size());
    for (int i = 0; i < attempts; i++) {
      PooledConnection connection =
          new PooledConnection(address, context.login(), control, context.threads(), this);
      opening.add(connection);
      connection.open();
    }
  }

  /** Takes an idle connection for a request; the one used last, so that others may be closed. */
  Optional<PooledConnection> acquire(long requestId) {
    if (!ready()) {
      return Optional.empty();
    }
    PooledConnection connection = idle.pop();
    boolean free = connection.requestId() == 0 && busy.add(connection);
    if (!invariants.check(
        Invariant.TRANSACTION_ISOLATION,
        free,
        () -> "connection of request " + connection.requestId() + " given to " + requestId)) {
      connection.close();
      return Optional.empty();
    }
    connection.setRequestId(requestId);
    return Optional.of(connection);
  }

  /** Takes a connection back after a step that ended; keeps it only if it is clean. */
  void release(PooledConnection connection) {
    boolean keep =
        connection.clean()
            && !closed
            && connection.address().sameListener(address)
            && open() <= limit();
    if (!keep) {
      discard(connection);
      return;
    }
    busy.remove(connection);
    connection.setRequestId(0);
    connection.setIdleSinceNanos(control.nowNanos());
    idle.push(connection);
    onReady.run();
  }

  /** Closes a connection, whatever it is doing. */
  void discard(PooledConnection connection) {
    if (busy.remove(connection)) {
      context.metrics().connectionsClosed().inc();
    }
    connection.close();
  }

  /** Records a request that the database answered. */
  void recordAnswer(long latencyNanos) {
    limit.answered(latencyNanos, control.nowNanos());
  }

  /** Records a request that timed out or whose connection failed. */
  void recordFailure() {
    limit.failed(control.nowNanos());
  }

  /** Closes connections that have been idle for long. */
  void closeUnused() {
    long now = control.nowNanos();
    while (!idle.isEmpty() && now - idle.peekLast().idleSinceNanos() > IDLE_LIMIT_NANOS) {
      idle.pollLast().close();
      context.metrics().connectionsClosed().inc();
    }
  }

  @Override
  public void opened(PooledConnection opened) {
    opening.remove(opened);
    if (closed || !opened.address().sameListener(address)) {
      opened.close();
      return;
    }
    backoffNanos = 0;
    context.metrics().connectionsOpened().inc();
    opened.setIdleSinceNanos(control.nowNanos());
    idle.push(opened);
    onReady.run();
  }

  @Override
  public void openFailed(PooledConnection failed, SQLException reason) {
    opening.remove(failed);
    long now = control.nowNanos();
    if (SqlState.of(reason) == SqlState.TOO_MANY_CONNECTIONS) {
      context.metrics().connectionsRefused().inc();
      limit.refused(now);
      openAfterNanos = now + FIRST_BACKOFF_NANOS;
      return;
    }
    context.metrics().connectionsFailed().inc();
    backoffNanos = Math.min(MAX_BACKOFF_NANOS, Math.max(FIRST_BACKOFF_NANOS, backoffNanos * 2));
    openAfterNanos = now + backoffNanos;
  }

  private void closeIdle() {
    idle.forEach(PooledConnection::close);
    context.metrics().connectionsClosed().inc(idle.size());
    idle.clear();
  }

  /** Closes all connections at once. */
  void close() {
    closed = true;
    closeIdle();
    List.copyOf(busy).forEach(this::discard);
    opening.forEach(PooledConnection::close);
    opening.clear();
  }
}
