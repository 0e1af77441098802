package org.pollenspar.proxy.connection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.connection.GroupTracker;
import org.pollenspar.core.connection.Primary;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.request.RoutingContext;
import org.pollenspar.core.version.GroupSpec;

/**
 * The databases of one group as one home sees them: tracker, probers and pools. Driven by the
 * control thread. Records a change of the primary or of a database's reachability in the time line.
 */
final class GroupDatabases implements Prober.Listener {
  private static final int PROBE_WAIT_MILLIS = 100;

  /**
   * Reads without staleness wait for a probe that was sent after their arrival. With the usual wait
   * of 100 ms an idle group would keep each of them waiting that long.
   */
  private static final int EAGER_PROBE_WAIT_MILLIS = 5;

  private static final long EAGER_NANOS = 2_000_000_000L;
  private static final int BUSY_LOAD = 1_000_000;

  private final HomeContext context;
  private final AnswerChecker checker;
  private final Runnable onChange;
  private final Map<String, DatabaseConnectionPool> pools = new TreeMap<>();
  private final Map<String, Prober> probers = new HashMap<>();
  private final Set<String> unreachable = new HashSet<>();
  private GroupTracker tracker;
  private Optional<Primary> knownPrimary = Optional.empty();
  private volatile long eagerUntilNanos;

  GroupDatabases(HomeContext context, AnswerChecker checker, GroupSpec group, Runnable onChange) {
    this.context = context;
    this.checker = checker;
    this.onChange = onChange;
    this.tracker = new GroupTracker(group);
    this.eagerUntilNanos = context.control().nowNanos();
  }

  GroupTracker tracker() {
    return tracker;
  }

  /** Takes the group's declaration and the addresses of its databases. */
  void update(GroupSpec group, Collection<DatabaseAddress> addresses, int share) {
    if (!group.databases().equals(tracker.group().databases())) {
      tracker = new GroupTracker(group);
    }
    Map<String, DatabaseAddress> byId = new HashMap<>();
    Set<String> leaving = new HashSet<>();
    for (DatabaseAddress address : addresses) {
      byId.put(address.databaseId(), address);
      if (address.leaving()) {
        leaving.add(address.databaseId());
      }
    }
    tracker.leaving(leaving);
    removeAllBut(byId.keySet());
    byId.values().forEach(address -> updateDatabase(address, share));
  }

  private void updateDatabase(DatabaseAddress address, int share) {
    String id = address.databaseId();
    DatabaseConnectionPool pool =
        pools.computeIfAbsent(
            id, key -> new DatabaseConnectionPool(context.pools(), address, share, onChange));
    pool.setShare(share);
    pool.setAddress(address);
    Prober prober = probers.get(id);
    if (prober == null || !prober.address().sameListener(address)) {
      if (prober != null) {
        prober.close();
      }
      Prober started = new Prober(address, context.pools(), checker, this::probeWaitMillis, this);
      probers.put(id, started);
      started.start();
    }
  }

  private void removeAllBut(Set<String> ids) {
    for (String id : new ArrayList<>(pools.keySet())) {
      if (!ids.contains(id)) {
        Optional.ofNullable(pools.remove(id)).ifPresent(DatabaseConnectionPool::close);
        Optional.ofNullable(probers.remove(id)).ifPresent(Prober::close);
      }
    }
  }

  private int probeWaitMillis() {
    boolean eager = eagerUntilNanos - System.nanoTime() > 0;
    return eager ? EAGER_PROBE_WAIT_MILLIS : PROBE_WAIT_MILLIS;
  }

  /** Makes the probes of the next seconds short, since a read waits for them. */
  void probeEagerly() {
    eagerUntilNanos = context.control().nowNanos() + EAGER_NANOS;
  }

  @Override
  public void observed(DatabaseState state, long sentNanos, long receivedNanos) {
    tracker.observed(state, sentNanos, receivedNanos);
    if (unreachable.remove(state.databaseId())) {
      context.timeline().record("database_back", state.databaseId(), tracker.group().name());
    }
    Optional<Primary> primary = tracker.primary();
    if (primary.isPresent() && !primary.equals(knownPrimary)) {
      String detail = primary.get().databaseId() + " in term " + primary.get().term();
      context.timeline().record("primary_changed", tracker.group().name(), detail);
      knownPrimary = primary;
    }
    onChange.run();
  }

  @Override
  public void failed(String databaseId, String reason) {
    if (!pools.containsKey(databaseId)) {
      return;
    }
    tracker.failed(databaseId, context.control().nowNanos());
    if (unreachable.add(databaseId)) {
      context.timeline().record("database_unreachable", databaseId, reason);
    }
  }

  Optional<DatabaseConnectionPool> pool(String databaseId) {
    return Optional.ofNullable(pools.get(databaseId));
  }

  Collection<DatabaseConnectionPool> pools() {
    return pools.values();
  }

  /** Returns the pool of a primary that may get new work. */
  Optional<DatabaseConnectionPool> primaryPool() {
    return tracker
        .primary()
        .filter(primary -> tracker.usable(primary.databaseId()))
        .flatMap(primary -> pool(primary.databaseId()));
  }

  /** Returns the pools of the databases that serve reads besides the primary. */
  List<DatabaseConnectionPool> replicaPools() {
    Optional<String> primary = tracker.primary().map(Primary::databaseId);
    return pools.values().stream()
        .filter(pool -> tracker.usable(pool.address().databaseId()))
        .filter(pool -> !primary.equals(Optional.of(pool.address().databaseId())))
        .toList();
  }

  /** Returns what the router needs; a database without a free connection counts as loaded. */
  RoutingContext view() {
    Map<String, Integer> load = new HashMap<>();
    Map<String, String> domains = new HashMap<>();
    pools.forEach(
        (id, pool) -> {
          load.put(id, pool.busy() + (pool.ready() ? 0 : BUSY_LOAD));
          domains.put(id, pool.address().domain());
        });
    return new RoutingContext(
        id -> pool(id).map(DatabaseConnectionPool::reachable).orElse(false),
        load,
        domains,
        context.ownDomain());
  }

  /** Takes a connection for a request, unless the database's host leaves the fleet (P7). */
  Optional<PendingRequest.HeldConnection> acquire(
      DatabaseConnectionPool pool, HomeQueues.Destination destination, long requestId) {
    DatabaseAddress address = pool.address();
    boolean holds =
        context
            .invariants()
            .check(
                Invariant.LEAVING_HOST_IDLE,
                !address.leaving(),
                () -> "request " + requestId + " for " + address.databaseId());
    if (!holds) {
      return Optional.empty();
    }
    return pool.acquire(requestId)
        .map(
            taken ->
                new PendingRequest.HeldConnection(
                    pool, taken, context.control().nowNanos(), destination));
  }

  void close() {
    probers.values().forEach(Prober::close);
    probers.clear();
    pools.values().forEach(DatabaseConnectionPool::close);
    pools.clear();
  }
}
