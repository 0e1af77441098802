package org.pollenspar.core.connection;

import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.version.RouteTable;

/**
 * Opens connections of a {@link ConnectionPool} while organisations with waiting requests lack one.
 *
 * <p>A connection is opened if there is room in the share of this host, or if room can be made by
 * closing an idle connection of another organisation. After a failed attempt, no further one is
 * made until the {@link ConnectBackoff} has ended, with one exception. While the database is at its
 * connection limit, an organisation without a connection gets the place of an idle one, since it
 * could not be served otherwise. If that fails too, the requests of the organisation are refused.
 */
final class ConnectionOpening {
  private final ConnectionPool pool;
  private final PhysicalConnection.Opener opener;
  private final PooledConnections connections;
  private final ConnectionRequestQueue queue;
  private final ConnectionDistribution distribution;
  private final ConnectionPoolCounts counts;
  private final Clocks clocks;
  private final Timers timers;
  private final ConnectBackoff backoff;
  private boolean unreachable;
  private boolean retryScheduled;

  ConnectionOpening(
      ConnectionPool pool,
      PhysicalConnection.Opener opener,
      PooledConnections connections,
      ConnectionRequestQueue queue,
      ConnectionDistribution distribution,
      ConnectionPoolCounts counts,
      Clocks clocks,
      Timers timers) {
    this.pool = pool;
    this.opener = opener;
    this.connections = connections;
    this.queue = queue;
    this.distribution = distribution;
    this.counts = counts;
    this.clocks = clocks;
    this.timers = timers;
    this.backoff = new ConnectBackoff(clocks);
  }

  /** Returns whether the last attempt has shown that the database is unreachable. */
  boolean unreachable() {
    return unreachable && backoff.active();
  }

  /** Records that the database is reachable or may be. */
  void endBackoff() {
    unreachable = false;
    backoff.end();
  }

  /** Opens connections for organisations whose requests wait, while that is possible. */
  void openIfNeeded() {
    boolean opened = true;
    while (opened && !pool.retired()) {
      opened = false;
      for (String organisation : distribution.lackingConnections()) {
        if (openFor(organisation)) {
          // The order may be another one now.
          opened = true;
          break;
        }
      }
    }
    if (backoff.active() && !pool.retired()) {
      retryAfterBackoff();
    }
  }

  private boolean openFor(String organisation) {
    boolean mustReplace = backoff.active();
    if (mustReplace && !(backoff.connectionLimitReached() && connections.held(organisation) == 0)) {
      return false;
    }
    boolean madeRoom = false;
    while (connections.held() >= pool.share() || (mustReplace && !madeRoom)) {
      @Nullable PooledDatabaseConnection closed = distribution.replaceable(organisation);
      if (closed == null) {
        return false;
      }
      connections.remove(closed);
      closed.close();
      counts.countClosedToMakeRoom();
      madeRoom = true;
    }
    connections.openingBegan(organisation);
    opener.open(pool.entry(), organisation, new Opening(organisation, madeRoom));
    return true;
  }

  /**
   * Tries again when the backoff has ended, if an organisation without a connection waits. It isn't
   * served by the next release, as others are, and there may be none if all connections were closed
   * since the failed attempt. In a pool without connections, requests without an organisation wait
   * for the next event, so that deployments without organisations are served as before.
   */
  private void retryAfterBackoff() {
    boolean anyOpen = connections.size() > 0;
    boolean needed =
        distribution.lackingConnections().stream()
            .filter(each -> anyOpen || !each.equals(RouteTable.NO_ORGANISATION))
            .anyMatch(each -> connections.held(each) == 0);
    if (needed && !retryScheduled) {
      retryScheduled = true;
      timers.after(
          backoff.remainingMillis(),
          () -> {
            retryScheduled = false;
            openIfNeeded();
          });
    }
  }

  /** Receives the outcome of one attempt to connect. */
  private final class Opening implements PhysicalConnection.OpenListener {
    private final String organisation;
    private final boolean madeRoom;

    Opening(String organisation, boolean madeRoom) {
      this.organisation = organisation;
      this.madeRoom = madeRoom;
    }

    @Override
    public void opened(PhysicalConnection connection, Answer greeting) {
      connections.openingEnded(organisation);
      counts.countOpened();
      pool.recordAnswer();
      PooledDatabaseConnection pooled =
          new PooledDatabaseConnection(pool, organisation, connection);
      pooled.markUsed(clocks.steadyNanos());
      if (pool.retired()) {
        pooled.close();
        return;
      }
      connections.addOpened(pooled);
      pool.serveQueue();
    }

    @Override
    public void refused(Answer reason) {
      connections.openingEnded(organisation);
      boolean noneOpen = connections.size() == 0;
      boolean limitReached = reason.code() == AnswerCode.CONNECTION_LIMIT;
      unreachable = noneOpen || reason.code() == AnswerCode.LOST;
      long backoffMillis = backoff.begin(reason.code());
      ConnectionPoolCounts.Refusal cause =
          limitReached
              ? ConnectionPoolCounts.Refusal.OUT_OF_CONNECTIONS
              : ConnectionPoolCounts.Refusal.UNREACHABLE;
      String state = limitReached ? "out of connections" : "unreachable";
      if (noneOpen) {
        pool.refuseWaiting(cause, state);
        return;
      }
      boolean mayReplace = limitReached && !madeRoom;
      if (connections.held(organisation) == 0 && !mayReplace) {
        pool.refuse(
            queue.drain(organisation), cause, state + "; retry in " + backoffMillis + " ms");
      }
      openIfNeeded();
      if (queue.length() > 0) {
        timers.after(backoffMillis, ConnectionOpening.this::openIfNeeded);
      }
    }
  }
}
