package org.pollenspar.proxy.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.connection.GroupTracker;
import org.pollenspar.core.connection.Primary;

/**
 * What a home knows of its group at one moment; safe to hand to other threads.
 *
 * @param primary the primary, if one leads the highest known term
 * @param term highest known term
 * @param databases one entry per database in the host list
 * @param primaryQueue requests that wait for the primary, by rank
 * @param replicaQueue requests that wait for a replica, by rank
 * @param parked requests that no database can serve yet
 * @param running requests in progress
 */
public record HomeReport(
    Optional<Primary> primary,
    long term,
    List<Database> databases,
    Map<String, Integer> primaryQueue,
    Map<String, Integer> replicaQueue,
    int parked,
    int running) {

  /**
   * One database.
   *
   * @param id name
   * @param state last answer to a probe
   * @param probeAgeNanos time since the last answered probe was sent
   * @param usable whether it gets new work
   * @param leaving whether its host leaves the fleet
   * @param connections open connections of this home
   * @param busy those of them that run a request
   * @param limit requests that may run at once
   */
  public record Database(
      String id,
      Optional<DatabaseState> state,
      OptionalLong probeAgeNanos,
      boolean usable,
      boolean leaving,
      int connections,
      int busy,
      int limit) {}

  static HomeReport of(GroupDatabases databases, HomeQueues queues, ExecutionState execution) {
    GroupTracker tracker = databases.tracker();
    List<Database> list = new ArrayList<>();
    for (DatabaseConnectionPool pool : databases.pools()) {
      String id = pool.address().databaseId();
      OptionalLong probe = tracker.lastProbeNanos(id);
      list.add(
          new Database(
              id,
              tracker.state(id),
              probe.isPresent()
                  ? OptionalLong.of(execution.now() - probe.getAsLong())
                  : OptionalLong.empty(),
              tracker.usable(id),
              pool.address().leaving(),
              pool.open(),
              pool.busy(),
              pool.limit()));
    }
    return new HomeReport(
        tracker.primary(),
        tracker.currentTerm(),
        List.copyOf(list),
        new TreeMap<>(queues.lengthByRank(HomeQueues.Destination.PRIMARY)),
        new TreeMap<>(queues.lengthByRank(HomeQueues.Destination.REPLICAS)),
        queues.parkedCount(),
        execution.activeCount());
  }
}
