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
 * Immutable snapshot of a home's view of its group, safe for use by other threads.
 *
 * @param primary the primary, if one leads the highest known term
 * @param term highest known term
 * @param databases the group's databases in the host list
 * @param primaryQueue requests that wait for the primary, by rank
 * @param replicaQueue requests that wait for a replica, by rank
 * @param parked number of requests that no database can serve yet
 * @param running number of requests in progress
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
   * A database of the group.
   *
   * @param id name of the database
   * @param state last known state, empty before the first answer
   * @param probeAgeNanos time since the last answered probe was sent
   * @param usable whether the database gets new requests
   * @param leaving whether its host is leaving the fleet
   * @param connections number of open connections of this home
   * @param busy number of these that belong to a request
   * @param limit number of requests that may run at the same time
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
