package org.pollenspar.core.request;

import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.connection.GroupTracker;

/** Strategy that chooses the database for a read. */
public interface ReadRouter {

  /** Chooses a database by what the tracker knows now, or tells the read to wait or to fail. */
  RouteDecision choose(
      ReadRequirement requirement, GroupTracker tracker, RoutingContext context, long nowNanos);

  /**
   * Returns whether the database's state, read together with the answer, satisfies the read. The
   * choice alone does not guarantee this, since it relies on probe answers that may be outdated.
   */
  default boolean acceptable(
      ReadRequirement requirement, DatabaseState answered, GroupTracker tracker) {
    return answered.position().includes(requirement.position())
        && tracker.confirmedSampleNanos(answered.position()).stream()
            .anyMatch(sample -> sample - requirement.minSampleNanos() >= 0);
  }

  /** Returns the default strategy. */
  static ReadRouter replicasFirst() {
    return new ReplicasFirstRouter();
  }

  /** Returns the baseline for comparisons. */
  static ReadRouter primaryOnly() {
    return new PrimaryOnlyRouter();
  }
}
