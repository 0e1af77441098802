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
 * Closes HTTP connections that do not deliver a whole request in time.
 *
 * <p>The time counts from the accept, or from the last reply, to the last byte of the next request;
 * it does not start again with each byte. An idle timeout fails here: a caller that sends one byte
 * a second is never idle.
 */
public final class ConnectionDeadlines extends BaseFilter implements AddOn, AutoCloseable {
  private static final long NO_DEADLINE = Long.MAX_VALUE;
  private static final int SWEEPS_PER_TIMEOUT = 8;

  private final Map<Connection<?>, Long> deadlines = new ConcurrentHashMap<>();
  private final long timeoutNanos;
  private final long origin = System.nanoTime();
  private final ScheduledExecutorService sweeper;

  /** Creates the deadlines and starts their thread. */
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

  /** The connection's request is complete; it now waits for this process. */
  public void requestReceived(Connection<?> connection) {
    deadlines.replace(connection, NO_DEADLINE);
  }

  /** The connection's reply is written; the next request is due. */
  public void replyWritten(Connection<?> connection) {
    deadlines.replace(connection, elapsed() + timeoutNanos);
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return deadlines.size();
  }

  @Override
  public void setup(NetworkListener listener, FilterChainBuilder builder) {
    // Behind the transport filter, so that it sees accepted and closed connections.
    builder.add(1, this);
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) {
    Connection<?> connection = context.getConnection();
    deadlines.put(connection, elapsed() + timeoutNanos);
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
