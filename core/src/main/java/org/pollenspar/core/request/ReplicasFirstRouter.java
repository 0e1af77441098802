package org.pollenspar.core.request;

import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.connection.GroupTracker;
import org.pollenspar.core.process.ErrorKind;

/**
 * Default strategy, which keeps the primary free for writes. It tries in this order:
 *
 * <ol>
 *   <li>the least loaded replica that is known to be fresh enough; on equal load one in this
 *       proxy's failure domain;
 *   <li>if the group has usable replicas, none of them fresh enough, wait for one for a fifth of
 *       the time between arrival and deadline;
 *   <li>the primary;
 *   <li>wait until the deadline, then refuse with {@code NO_FRESH_DATABASE}.
 * </ol>
 *
 * <p>Whether a replica is fresh enough is decided by the term and the offset of its log together. A
 * replica of an older term may have a longer log whose last entries were never acknowledged and
 * will be discarded.
 */
final class ReplicasFirstRouter implements ReadRouter {
  /** A read waits for a replica for this fraction (1/5) of the time that it has in total. */
  private static final int REPLICA_WAIT_DIVISOR = 5;

  @Override
  public RouteDecision choose(
      ReadRequirement requirement, GroupTracker tracker, RoutingContext context, long nowNanos) {
    if (requirement.deadlineNanos() - nowNanos <= 0) {
      return new RouteDecision.Refuse(ErrorKind.NO_FRESH_DATABASE);
    }
    Optional<String> replica =
        replicas(tracker, context)
            .filter(id -> ReadEligibility.satisfies(requirement, tracker, context, id))
            .min(
                Comparator.comparingInt(context::loadOf)
                    .thenComparing(id -> !context.isInOwnDomain(id))
                    .thenComparing(Comparator.naturalOrder()));
    if (replica.isPresent()) {
      return new RouteDecision.Use(replica.get(), DatabaseRole.REPLICA);
    }
    long replicaWaitEnd =
        requirement.arrivalNanos()
            + (requirement.deadlineNanos() - requirement.arrivalNanos()) / REPLICA_WAIT_DIVISOR;
    if (nowNanos - replicaWaitEnd < 0 && replicas(tracker, context).findAny().isPresent()) {
      return new RouteDecision.Wait(replicaWaitEnd);
    }
    return tracker
        .primary()
        .filter(
            primary ->
                ReadEligibility.satisfies(requirement, tracker, context, primary.databaseId()))
        .<RouteDecision>map(
            primary -> new RouteDecision.Use(primary.databaseId(), DatabaseRole.PRIMARY))
        .orElseGet(() -> new RouteDecision.Wait(requirement.deadlineNanos()));
  }

  private static Stream<String> replicas(GroupTracker tracker, RoutingContext context) {
    return tracker.group().databases().stream()
        .filter(id -> ReadEligibility.canServe(tracker, context, id))
        .filter(
            id -> tracker.state(id).map(DatabaseState::role).orElseThrow() == DatabaseRole.REPLICA);
  }
}
