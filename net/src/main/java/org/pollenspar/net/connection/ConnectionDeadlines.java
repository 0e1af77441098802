package org.pollenspar.net.connection;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.server.AddOn;
import org.glassfish.grizzly.http.server.NetworkListener;

/**
 * Closes HTTP connections that do not deliver a complete request in time.
 *
 * <p>The time runs from the accept, or from the last reply, to the last byte of the next request.
 * Single bytes do not restart it, as they would restart an idle timeout: a caller that sends one
 * byte a second is never idle and could hold its connection without limit.
 *
 * <p>A thread looks for overdue connections eight times per timeout, so that a connection may be
 * closed late by an eighth of it. All methods are thread-safe.
 */
public final class ConnectionDeadlines extends BaseFilter implements AddOn, AutoCloseable {
  private static final long NO_DEADLINE = Long.MAX_VALUE;
  private static final int SWEEPS_PER_TIMEOUT = 8;

  private final Map<Connection<?>, Long> deadlines = new ConcurrentHashMap<>();
  private final long timeoutNanos;
  private final long origin = System.nanoTime();
  private final ScheduledExecutorService sweeper;

  /** Starts the thread that closes overdue connections. */
  public ConnectionDeadlines(String name, Duration timeout) {
    this.timeoutNanos = timeout.toNanos();
    this.sweeper =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, name + "-deadlines");
              thread.setDaemon(true);
              return thread;
            });
    long pause = Math.max(1, timeoutNanos / SWEEPS_PER_TIMEOUT);
    var unused =
        sweeper.scheduleWithFixedDelay(this::closeOverdue, pause, pause, TimeUnit.NANOSECONDS);
  }

  /** Removes the deadline of a connection whose request is complete and waits for its reply. */
  public void requestReceived(Connection<?> connection) {
    deadlines.replace(connection, NO_DEADLINE);
  }

  /** Sets the deadline of the next request of a connection. */
  public void replyWritten(Connection<?> connection) {
    deadlines.replace(connection, elapsed() + timeoutNanos);
  }

  public int openConnections() {
    return deadlines.size();
  }

  @Override
  public void setup(NetworkListener listener, FilterChainBuilder builder) {
    // Directly behind the transport filter, to see accepted and closed connections.
    builder.add(1, this);
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) {
    Connection<?> connection = context.getConnection();
    deadlines.put(connection, elapsed() + timeoutNanos);
    // A close before the put above found no entry to remove.
    if (!connection.isOpen()) {
      deadlines.remove(connection);
    }
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    deadlines.remove(context.getConnection());
    return context.getInvokeAction();
  }

  private void closeOverdue() {
    long now = elapsed();
    deadlines.forEach(
        (connection, deadline) -> {
          if (deadline < now) {
            deadlines.remove(connection);
            connection.terminateSilently();
          }
        });
  }

  private long elapsed() {
    return System.nanoTime() - origin;
  }

  @Override
  public void close() {
    sweeper.shutdownNow();
  }
}
