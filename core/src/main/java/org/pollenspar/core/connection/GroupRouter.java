package org.pollenspar.core.connection;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.PrimaryAuthority;
import org.pollenspar.core.process.PrimaryRecord;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;

/**
 * Chooses the database of a group for each statement and keeps what is known of the group's log.
 *
 * <p>A read that may be stale runs on the replica with the least expected time, under the condition
 * that its log includes the {@link PositionHistory}'s oldest sample within the bound; the database
 * itself checks the condition, so a wrong choice costs a round trip and never a stale answer. Load
 * it answers: a flood of tolerant reads, which must not take the primary's few slots from writes.
 */
public final class GroupRouter {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Part of a staleness bound left for the way to the database and its queue, in milliseconds. */
  private static final long STALENESS_RESERVE_MS = 400;

  /** Preference for a database in the same failure domain. */
  private static final double REMOTE_PENALTY_NANOS = 6e6;

  /** Preference for replicas: slots of the primary are needed by writes. */
  private static final double PRIMARY_PENALTY_NANOS = 30e6;

  /** What a read may run on. */
  public record ReadTarget(ConnectionPool pool, @Nullable Position after, boolean primary) {}

  private final String group;
  private final String ownDomain;
  private final PrimaryAuthority authority;
  private final PhysicalConnection.Opener opener;
  private final SlotPermits permits;
  private final Clocks clocks;
  private final Timers timers;
  private final Map<String, ConnectionPool> pools = new HashMap<>();
  private final PositionHistory positions = new PositionHistory();
  private int share = 1;

  /** Creates the router of a group whose databases aren't known yet. */
  public GroupRouter(
      String group,
      String ownDomain,
      PrimaryAuthority authority,
      PhysicalConnection.Opener opener,
      SlotPermits permits,
      Clocks clocks,
      Timers timers) {
    this.group = group;
    this.ownDomain = ownDomain;
    this.authority = authority;
    this.opener = opener;
    this.permits = permits;
    this.clocks = clocks;
    this.timers = timers;
  }

  /** Returns the name of the group. */
  public String group() {
    return group;
  }

  /** Returns the authority over the group's primary. */
  public PrimaryAuthority authority() {
    return authority;
  }

  /** Takes over the databases that are registered now. */
  public void databases(Collection<DatabaseEntry> entries) {
    Set<String> gone = new HashSet<>(pools.keySet());
    for (DatabaseEntry entry : entries) {
      gone.remove(entry.id());
      @Nullable ConnectionPool pool = pools.get(entry.id());
      if (pool != null) {
        pool.update(entry);
      } else {
        ConnectionPool added = new ConnectionPool(entry, opener, permits, clocks, timers);
        added.share(share);
        pools.put(entry.id(), added);
      }
    }
    for (String id : gone) {
      @Nullable ConnectionPool pool = pools.remove(id);
      if (pool != null) {
        pool.retire();
      }
    }
  }

  /** Sets how many connections this host may hold to each database. */
  public void share(int connections) {
    share = connections;
    pools.values().forEach(pool -> pool.share(connections));
  }

  /** Returns the pools of all databases. */
  public Collection<ConnectionPool> pools() {
    return pools.values();
  }

  /** Returns the pool of a database; null if it isn't registered. */
  public @Nullable ConnectionPool pool(String database) {
    return pools.get(database);
  }

  /** Returns the pool of the database that may be used as the primary; null if there is none. */
  public @Nullable ConnectionPool primary() {
    @Nullable String id = authority.primary(group);
    return id == null ? null : pools.get(id);
  }

  /** Returns the term of the primary that may be used; -1 if there is none. */
  public long term() {
    @Nullable PrimaryRecord record = authority.record(group);
    return record == null ? -1 : record.term();
  }

  /** Called when the primary changed or may no longer be used. */
  public void primaryChanged() {
    positions.clear();
    @Nullable PrimaryRecord record = authority.record(group);
    if (record == null) {
      return;
    }
    if (record.changing()) {
      @Nullable ConnectionPool pool = pools.get(record.database());
      if (pool != null) {
        pool.refuseWaiting("being replaced as primary");
      }
    }
  }

  /** Returns the least position that a tolerant read needs; null if it isn't known. */
  public @Nullable Position needed(Route route, @Nullable Position own) {
    long bound = (route.maxStalenessMillis() - STALENESS_RESERVE_MS) * NANOS_PER_MILLI;
    @Nullable Position covering = positions.covering(clocks.steadyNanos() - bound);
    if (covering == null || own == null || route.kind() != RouteKind.READ_YOUR_WRITES) {
      return covering;
    }
    // A position of an older term is included in every later term or was rolled back.
    return own.term() == covering.term() ? covering.max(own) : covering;
  }

  /** Returns where a read should run now; null if no database may answer it. */
  public @Nullable ReadTarget readTarget(
      Route route, @Nullable Position own, Set<ConnectionPool> avoid) {
    @Nullable ConnectionPool primary = primary();
    @Nullable ReadTarget atPrimary = primary == null ? null : new ReadTarget(primary, null, true);
    if (route.kind() == RouteKind.PRIMARY) {
      return atPrimary;
    }
    @Nullable Position after = needed(route, own);
    @Nullable ReadTarget best = null;
    double bestCost = Double.MAX_VALUE;
    if (primary != null && primary.usable() && !avoid.contains(primary)) {
      best = atPrimary;
      bestCost = cost(primary, route.priority()) + PRIMARY_PENALTY_NANOS;
    }
    if (after == null) {
      return best;
    }
    for (ConnectionPool pool : pools.values()) {
      if (pool == primary || avoid.contains(pool) || !pool.usable() || pool.lagging()) {
        continue;
      }
      if (pool.entry().draining()) {
        continue;
      }
      double cost = cost(pool, route.priority());
      if (cost < bestCost) {
        best = new ReadTarget(pool, after, false);
        bestCost = cost;
      }
    }
    return best;
  }

  private double cost(ConnectionPool pool, int priority) {
    boolean remote = !pool.entry().domain().equals(ownDomain);
    return pool.expectedNanos(priority) + (remote ? REMOTE_PENALTY_NANOS : 0);
  }

  /** Learns from a complete answer to a statement that was sent at {@code sentNanos}. */
  public void observe(ConnectionPool pool, int priority, Answer answer, long sentNanos) {
    pool.recordAnswer(priority, answer.code(), clocks.steadyNanos() - sentNanos);
    learnPosition(pool, answer, sentNanos);
  }

  /** Learns the end of the log from the answer to a command that needs no slot. */
  public void observePosition(ConnectionPool pool, Answer answer, long sentNanos) {
    pool.recordAnswer();
    learnPosition(pool, answer, sentNanos);
  }

  private void learnPosition(ConnectionPool pool, Answer answer, long sentNanos) {
    if (answer.position() == null || pool != primary()) {
      return;
    }
    if (answer.position().term() == term()) {
      positions.add(answer.position(), sentNanos);
    }
  }
}
