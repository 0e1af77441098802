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
 * The databases of one group as seen by one home: for each database a prober and a connection pool,
 * and for the group a tracker that derives the primary and the freshness of each database from
 * probe answers. Records changes of the primary and of a database's reachability in the timeline.
 *
 * <p>Driven by the control thread, except for the wait time of probes, which probers read on their
 * own threads.
 */
final class GroupDatabases implements Prober.Listener {
  /** How long a probe waits at an idle database for a change of its state. */
  private static final int PROBE_WAIT_MILLIS = 100;

  /**
   * Used while reads wait for a probe. A read that accepts no staleness needs a probe that was sent
   * after its arrival. With the usual 100 ms each such read of an idle group would wait that long.
   */
  private static final int EAGER_PROBE_WAIT_MILLIS = 5;

  /** How long probes keep the short wait after a read was parked. */
  private static final long EAGER_NANOS = 2_000_000_000L;

  /** Added to the load of a database without a free connection: routers prefer any other. */
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

  /**
   * Applies the group's declaration and the addresses of its databases. Databases that are no
   * longer listed lose their prober and their connections.
   *
   * @param share connections that this home may hold to each database
   */
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

  /** Shortens the wait of probes for the next two seconds, since a read waits for an answer. */
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

  /** Returns the pool of the primary; empty if no primary is known or it may get no new work. */
  Optional<DatabaseConnectionPool> primaryPool() {
    return tracker
        .primary()
        .filter(primary -> tracker.usable(primary.databaseId()))
        .flatMap(primary -> pool(primary.databaseId()));
  }

  /** Returns the pools of all usable databases but the primary. */
  List<DatabaseConnectionPool> replicaPools() {
    Optional<String> primary = tracker.primary().map(Primary::databaseId);
    return pools.values().stream()
        .filter(pool -> tracker.usable(pool.address().databaseId()))
        .filter(pool -> !primary.equals(Optional.of(pool.address().databaseId())))
        .toList();
  }

  /** Returns the availability, load and failure domain of each database for the read router. */
  RoutingContext routing() {
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

  /**
   * Acquires a connection for a request. Returns empty if none is free or if the database's host
   * leaves the fleet, which would violate invariant P7.
   */
  Optional<PendingRequest.HeldConnection> acquire(
      DatabaseConnectionPool pool, HomeQueues.Destination destination, long requestId) {
    DatabaseAddress address = pool.address();
    boolean holds =
        context
            .invariants()
            .check(
                Invariant.LEAVING_HOST_IDLE,
                !address.leaving(),
                () -> "request " + requestId + " sent to leaving database " + address.databaseId());
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
