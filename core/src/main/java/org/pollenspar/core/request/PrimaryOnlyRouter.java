package org.pollenspar.core.request;

import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.GroupTracker;
import org.pollenspar.core.process.ErrorKind;

/** Baseline for comparisons: sends every read to the primary, or waits until there is one. */
final class PrimaryOnlyRouter implements ReadRouter {

  @Override
  public RouteDecision choose(
      ReadRequirement requirement, GroupTracker tracker, RoutingContext context, long nowNanos) {
    if (requirement.deadlineNanos() - nowNanos <= 0) {
      return new RouteDecision.Refuse(ErrorKind.NO_PRIMARY);
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
}
