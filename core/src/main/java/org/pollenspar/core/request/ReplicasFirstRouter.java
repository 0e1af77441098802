package org.pollenspar.core.request;

import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.connection.GroupTracker;
import org.pollenspar.core.process.ErrorKind;

/**
 * Default strategy: a replica known to be fresh enough, the least loaded first and on equal load
 * one in the own failure domain; else wait up to a fifth of the deadline for one; else the primary;
 * else wait for the deadline and refuse.
 *
 * <p>A replica counts as fresh by terms as well as offsets. A replica of an older term may hold a
 * longer log whose end was never acknowledged and will be thrown away.
 */
final class ReplicasFirstRouter implements ReadRouter {
  /** The part of the deadline that a read waits for a replica, to keep the primary for writes. */
  private static final int REPLICA_WAIT_DIVISOR = 5;

  @Override
  public RouteDecision choose(
      ReadRequirement need, GroupTracker tracker, RoutingContext view, long nowNanos) {
    if (need.deadlineNanos() - nowNanos <= 0) {
      return new RouteDecision.Refuse(ErrorKind.NO_FRESH_DATABASE);
    }
    Optional<String> replica =
        replicas(tracker, view)
            .filter(id -> ReadEligibility.satisfies(need, tracker, view, id))
            .min(
                Comparator.comparingInt(view::loadOf)
                    .thenComparing(id -> !view.isInOwnDomain(id))
                    .thenComparing(Comparator.naturalOrder()));
    if (replica.isPresent()) {
      return new RouteDecision.Use(replica.get(), DatabaseRole.REPLICA);
    }
    long replicaWaitEnd =
        need.arrivalNanos() + (need.deadlineNanos() - need.arrivalNanos()) / REPLICA_WAIT_DIVISOR;
    if (nowNanos - replicaWaitEnd < 0 && replicas(tracker, view).findAny().isPresent()) {
      return new RouteDecision.Wait(replicaWaitEnd);
    }
    return tracker
        .primary()
        .filter(primary -> ReadEligibility.satisfies(need, tracker, view, primary.databaseId()))
        .<RouteDecision>map(
            primary -> new RouteDecision.Use(primary.databaseId(), DatabaseRole.PRIMARY))
        .orElseGet(() -> new RouteDecision.Wait(need.deadlineNanos()));
  }

  private static Stream<String> replicas(GroupTracker tracker, RoutingContext view) {
    return tracker.group().databases().stream()
        .filter(id -> ReadEligibility.canServe(tracker, view, id))
        .filter(
            id -> tracker.state(id).map(DatabaseState::role).orElseThrow() == DatabaseRole.REPLICA);
  }
}
