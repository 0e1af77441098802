package org.pollenspar.core.request;

import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.connection.GroupTracker;

/** Chooses the database for a read. */
public interface ReadRouter {

  /** Returns where the read goes, by what is known now. */
  RouteDecision choose(
      ReadRequirement need, GroupTracker tracker, RoutingContext view, long nowNanos);

  /**
   * Returns whether the state that came with a read's answer satisfies the read. Knowledge of the
   * tracker may be old, so only this check makes the answer correct.
   */
  default boolean acceptable(ReadRequirement need, DatabaseState answered, GroupTracker tracker) {
    return answered.position().includes(need.position())
        && tracker.confirmedSampleNanos(answered.position()).stream()
            .anyMatch(sample -> sample - need.minSampleNanos() >= 0);
  }

  /** Returns the default strategy: replicas first. */
  static ReadRouter replicasFirst() {
    return new ReplicasFirstRouter();
  }

  /** Returns the baseline strategy: the primary only. */
  static ReadRouter primaryOnly() {
    return new PrimaryOnlyRouter();
  }
}
