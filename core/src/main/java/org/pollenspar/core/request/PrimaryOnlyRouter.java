package org.pollenspar.core.request;

import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.GroupTracker;
import org.pollenspar.core.process.ErrorKind;

/** Baseline for comparison: every read goes to the primary. */
final class PrimaryOnlyRouter implements ReadRouter {

  @Override
  public RouteDecision choose(
      ReadRequirement need, GroupTracker tracker, RoutingContext view, long nowNanos) {
    if (need.deadlineNanos() - nowNanos <= 0) {
      return new RouteDecision.Refuse(ErrorKind.NO_PRIMARY);
    }
    return tracker
        .primary()
        .filter(primary -> ReadEligibility.satisfies(need, tracker, view, primary.databaseId()))
        .<RouteDecision>map(
            primary -> new RouteDecision.Use(primary.databaseId(), DatabaseRole.PRIMARY))
        .orElseGet(() -> new RouteDecision.Wait(need.deadlineNanos()));
  }
}
