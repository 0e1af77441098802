package org.pollenspar.core.connection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * The connections of a {@link ConnectionPool}, counted by the organisations that they belong to.
 */
final class PooledConnections {
  /** Counts of one organisation. */
  private static final class Counts {
    int open;
    int idle;
    int opening;

    /** Number of the organisation's latest grant among all grants of the pool; 0 for none. */
    long latestGrant;
  }

  private final Set<PooledDatabaseConnection> open = new HashSet<>();

  /** Idle connections; those that were released last come first. */
  private final ArrayDeque<PooledDatabaseConnection> idle = new ArrayDeque<>();

  /** Connections of open transactions whose callers pause. */
  private final Set<PooledDatabaseConnection> paused = new HashSet<>();

  private final Map<String, Counts> organisations = new HashMap<>();
  private int opening;
  private long grants;

  private Counts counts(String organisation) {
    return organisations.computeIfAbsent(organisation, key -> new Counts());
  }

  void openingBegan(String organisation) {
    opening++;
    counts(organisation).opening++;
  }

  void openingEnded(String organisation) {
    opening--;
    counts(organisation).opening--;
  }

  /** Adds a new connection, which is idle. */
  void addOpened(PooledDatabaseConnection connection) {
    open.add(connection);
    counts(connection.organisation()).open++;
    idle.addLast(connection);
    counts(connection.organisation()).idle++;
  }

  /** Returns a connection after its use. */
  void putIdle(PooledDatabaseConnection connection) {
    idle.addFirst(connection);
    counts(connection.organisation()).idle++;
  }

  /** Removes a connection, whether it is idle or not. */
  void remove(PooledDatabaseConnection connection) {
    if (open.remove(connection)) {
      counts(connection.organisation()).open--;
    }
    if (idle.remove(connection)) {
      counts(connection.organisation()).idle--;
    }
    paused.remove(connection);
  }

  /** Sets whether a connection, which is in use, is held by a paused transaction. */
  void paused(PooledDatabaseConnection connection, boolean isPaused) {
    if (isPaused && open.contains(connection)) {
      paused.add(connection);
    } else {
      paused.remove(connection);
    }
  }

  /** Returns the number of connections that are held by paused transactions. */
  int paused() {
    return paused.size();
  }

  /** Removes and returns the idle connections that fulfil a condition. */
  List<PooledDatabaseConnection> removeIdle(Predicate<PooledDatabaseConnection> condition) {
    List<PooledDatabaseConnection> removed = new ArrayList<>();
    for (PooledDatabaseConnection connection : idle) {
      if (condition.test(connection)) {
        removed.add(connection);
      }
    }
    removed.forEach(this::remove);
    return removed;
  }

  /**
   * Takes an idle connection of an organisation, if possible one with the values of a session; null
   * if none is idle.
   */
  @Nullable PooledDatabaseConnection takeIdle(String organisation, SessionState sessionState) {
    @Nullable PooledDatabaseConnection taken = null;
    for (PooledDatabaseConnection connection : idle) {
      if (connection.organisation().equals(organisation)) {
        if (connection.hasValues(sessionState)) {
          taken = connection;
          break;
        }
        taken = taken == null ? connection : taken;
      }
    }
    if (taken != null) {
      idle.remove(taken);
      taken.markGranted();
      Counts counts = counts(organisation);
      counts.idle--;
      counts.latestGrant = ++grants;
    }
    return taken;
  }

  /** Returns the least recently used idle connection that is accepted; null if there is none. */
  @Nullable PooledDatabaseConnection leastRecentlyUsed(
      Predicate<PooledDatabaseConnection> accepted) {
    @Nullable PooledDatabaseConnection found = null;
    for (PooledDatabaseConnection connection : idle) {
      boolean older = found == null || connection.lastUsedNanos() - found.lastUsedNanos() <= 0;
      if (older && accepted.test(connection)) {
        found = connection;
      }
    }
    return found;
  }

  boolean contains(PooledDatabaseConnection connection) {
    return open.contains(connection);
  }

  /** Returns the number of open connections. */
  int size() {
    return open.size();
  }

  /** Returns the number of connections that are open or being opened. */
  int held() {
    return open.size() + opening;
  }

  /** Returns the number of connections that are in use or being opened. */
  int busy() {
    return open.size() - idle.size() + opening;
  }

  /** Returns the number of idle connections. */
  int idle() {
    return idle.size();
  }

  int opening(String organisation) {
    @Nullable Counts counts = organisations.get(organisation);
    return counts == null ? 0 : counts.opening;
  }

  int idle(String organisation) {
    @Nullable Counts counts = organisations.get(organisation);
    return counts == null ? 0 : counts.idle;
  }

  /** Returns the number of an organisation's connections that are open or being opened. */
  int held(String organisation) {
    @Nullable Counts counts = organisations.get(organisation);
    return counts == null ? 0 : counts.open + counts.opening;
  }

  /** Returns the number of an organisation's connections that are in use or being opened. */
  int busy(String organisation) {
    return held(organisation) - idle(organisation);
  }

  /** Returns the organisations of connections that are in use or being opened. */
  Set<String> busyOrganisations() {
    Set<String> busy = new HashSet<>();
    organisations.forEach(
        (name, counts) -> {
          if (counts.open - counts.idle + counts.opening > 0) {
            busy.add(name);
          }
        });
    return busy;
  }

  /**
   * Returns, of several organisations, the one with the fewest busy connections; of equal ones, the
   * one that was granted a connection least recently. Null if there are none.
   */
  @Nullable String fewestBusy(Collection<String> names) {
    @Nullable String best = null;
    for (String name : names) {
      if (best == null || goesBefore(name, best)) {
        best = name;
      }
    }
    return best;
  }

  private boolean goesBefore(String name, String other) {
    int difference = busy(name) - busy(other);
    if (difference == 0) {
      difference = Long.compare(counts(name).latestGrant, counts(other).latestGrant);
    }
    // The order of names makes the choice independent of the order in the collection.
    return difference < 0 || (difference == 0 && name.compareTo(other) < 0);
  }
}
