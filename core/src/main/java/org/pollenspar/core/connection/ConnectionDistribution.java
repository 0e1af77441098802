package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Decides which organisations get the connections of a {@link ConnectionPool}.
 *
 * <p>Within a rank, the organisation with the fewest busy connections goes first; of equal ones,
 * the one that was served least recently. In order of arrival, an organisation with many requests
 * would take all connections.
 *
 * <p>A connection serves its own organisation only. For an organisation that lacks one, the least
 * recently used idle connection that its owner doesn't need is closed. One that the owner needs is
 * closed only for a request of at least the same rank, whose organisation holds no connection or at
 * least two fewer. A difference of one would be reversed by the next use, and each reversal costs
 * the database an opened connection. For the same reason, a new connection isn't closed before it
 * has served a request of its owner. Else, organisations that wait for a turn of the rate limiter
 * could take one place from each other without end.
 *
 * <p>Invariant: while requests of one rank wait, each connection that becomes free goes to its own
 * organisation or to one that holds fewer. So the connections become equal in number, and an
 * organisation without one gets the next that becomes free.
 */
final class ConnectionDistribution {
  private final ConnectionRequestQueue queue;
  private final PooledConnections connections;

  ConnectionDistribution(ConnectionRequestQueue queue, PooledConnections connections) {
    this.queue = queue;
    this.connections = connections;
  }

  /**
   * Returns how many connections an organisation is expected to use: its own or, if that is more,
   * an equal part of the share among the organisations that use or wait for connections.
   */
  double usable(String organisation, int share) {
    Set<String> active = connections.busyOrganisations();
    active.addAll(queue.organisations());
    active.add(organisation);
    double equalPart = (double) share / active.size();
    return Math.min(share, Math.max(connections.held(organisation), equalPart));
  }

  /** Returns whether a connection for a new request would take the place of another's. */
  boolean mustMakeRoom(String organisation, int share) {
    boolean ownOnly = connections.held(organisation) == connections.held();
    return !ownOnly && connections.idle(organisation) == 0 && connections.held() >= share;
  }

  /** Returns whether requests wait although a connection of their organisation is idle. */
  boolean idleAndWaiting() {
    return connections.idle() > 0
        && queue.organisations().stream().anyMatch(each -> connections.idle(each) > 0);
  }

  /**
   * Returns the first of the organisations with an idle connection and a waiting request of a rank;
   * null if there is none.
   */
  @Nullable String firstToServe(int rank) {
    Set<String> served = new HashSet<>(queue.organisations(rank));
    served.removeIf(organisation -> connections.idle(organisation) == 0);
    return connections.fewestBusy(served);
  }

  /** Returns the organisations that lack a connection, in the order in which they get one. */
  List<String> lackingConnections() {
    Map<Integer, Set<String>> byRank = new TreeMap<>();
    for (String organisation : queue.organisations()) {
      int opening = connections.opening(organisation);
      if (connections.idle(organisation) == 0 && opening < queue.waiting(organisation)) {
        byRank
            .computeIfAbsent(queue.rankAt(organisation, opening), key -> new HashSet<>())
            .add(organisation);
      }
    }
    List<String> ordered = new ArrayList<>();
    for (Set<String> rank : byRank.values()) {
      for (@Nullable String next = connections.fewestBusy(rank);
          next != null;
          next = connections.fewestBusy(rank)) {
        rank.remove(next);
        ordered.add(next);
      }
    }
    return ordered;
  }

  /**
   * Returns the idle connection that is closed to open one for an organisation; null if there is
   * none.
   */
  @Nullable PooledDatabaseConnection replaceable(String organisation) {
    if (connections.idle() == 0) {
      return null;
    }
    @Nullable PooledDatabaseConnection unneeded =
        connections.leastRecentlyUsed(
            each -> {
              String owner = each.organisation();
              return !owner.equals(organisation) && connections.idle(owner) > queue.waiting(owner);
            });
    return unneeded != null
        ? unneeded
        : connections.leastRecentlyUsed(each -> mayTake(each, organisation));
  }

  /** Returns whether a connection that its owner needs may be closed for an organisation. */
  private boolean mayTake(PooledDatabaseConnection connection, String organisation) {
    String owner = connection.organisation();
    int rank = queue.rankAt(organisation, connections.opening(organisation));
    int ownerRank = queue.rankAt(owner, 0);
    if (owner.equals(organisation)) {
      return false;
    }
    if (rank < 0 && ownerRank >= 0) {
      // A control command doesn't wait for statements of callers.
      return true;
    }
    int held = connections.held(organisation);
    return connection.wasGranted()
        && rank <= ownerRank
        && (held == 0 || held + 1 < connections.held(owner));
  }
}
