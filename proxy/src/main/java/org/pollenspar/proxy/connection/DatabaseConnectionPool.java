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
 * The connections of one home to one database.
 *
 * <p>Invariant (P3): an open connection is idle, or belongs to exactly one request from {@link
 * #acquire} to {@link #release} or {@link #discard}. A released connection that is not known to be
 * clean is closed, because its next answer might belong to the previous request.
 *
 * <p>The number of connections is bounded by a {@link ConcurrencyLimit}, which adapts to the
 * latency of the database within this home's share. Connections are opened on demand. After a
 * failed opening the pool backs off exponentially and then makes one attempt at a time. If the
 * database refuses a connection because it has too many (SQLSTATE 53300), the limit shrinks and the
 * next attempt follows after 50 ms.
 *
 * <p>Driven by the control thread, so it needs no locks; only the connections' own threads do I/O.
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
   * @param share number of connections that this home may hold
   * @param onReady called whenever a connection becomes idle
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

  /**
   * Sets the address. If the listener changes, idle connections are closed now and busy ones when
   * they are released.
   */
  void setAddress(DatabaseAddress newAddress) {
    boolean moved = !newAddress.sameListener(address);
    address = newAddress;
    if (moved) {
      closeIdle();
      openAfterNanos = control.nowNanos();
    }
  }

  /** Returns how many requests may run at the same time. */
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

  /** Returns whether a request can start now. */
  boolean ready() {
    return !closed && !idle.isEmpty() && busy.size() < limit();
  }

  /** Returns whether waiting for a connection makes sense: one is open, or openings do not fail. */
  boolean reachable() {
    return !closed && (backoffNanos == 0 || open() > 0);
  }

  /** Starts to open connections so that {@code wanted} are idle or opening, within the limit. */
  void grow(int wanted) {
    long now = control.nowNanos();
    if (closed || now - openAfterNanos < 0) {
      return;
    }
    int room = limit() - open() - opening.size();
    int missing = Math.min(room, wanted - idle.size() - opening.size());
    // After a failure a single attempt shows whether the database accepts connections again.
    int attempts = backoffNanos == 0 ? missing : Math.min(missing, 1 - opening.size());
    for (int i = 0; i < attempts; i++) {
      PooledConnection connection =
          new PooledConnection(address, context.login(), control, context.threads(), this);
      opening.add(connection);
      connection.open();
    }
  }

  /**
   * Acquires an idle connection for a request; empty if none may be used now. The connection that
   * was used last is taken first, so that surplus connections reach the idle timeout.
   */
  Optional<PooledConnection> acquire(long requestId) {
    if (!ready()) {
      return Optional.empty();
    }
    PooledConnection connection = idle.pop();
    boolean free = connection.requestId() == 0 && busy.add(connection);
    if (!invariants.check(
        Invariant.TRANSACTION_ISOLATION,
        free,
        () -> "connection of request " + connection.requestId() + " acquired by " + requestId)) {
      connection.close();
      return Optional.empty();
    }
    connection.setRequestId(requestId);
    return Optional.of(connection);
  }

  /**
   * Takes a connection back. It is closed if its last step did not leave it clean, if it leads to
   * an earlier address, if the pool is closed, or if the pool exceeds its limit.
   */
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

  /** Closes a connection even if a step runs on it. */
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

  /** Closes connections that have been idle for more than 60 s. */
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

  /** Closes all connections, idle or not, and opens no more. */
  void close() {
    closed = true;
    closeIdle();
    List.copyOf(busy).forEach(this::discard);
    opening.forEach(PooledConnection::close);
    opening.clear();
  }
}
