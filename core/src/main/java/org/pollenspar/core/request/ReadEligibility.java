package org.pollenspar.core.request;

import org.pollenspar.core.connection.GroupTracker;

/** Whether a database may be chosen for a read, according to the latest probe answers. */
final class ReadEligibility {

  private ReadEligibility() {}

  /**
   * Returns whether the database takes requests and, by its last known position, holds the
   * session's writes and every write acknowledged before {@link ReadRequirement#minSampleNanos}.
   */
  static boolean satisfies(
      ReadRequirement requirement, GroupTracker tracker, RoutingContext context, String id) {
    return canServe(tracker, context, id)
        && tracker.state(id).stream()
            .anyMatch(state -> state.position().includes(requirement.position()))
        && tracker.confirmedSampleNanos(id).stream()
            .anyMatch(sample -> sample - requirement.minSampleNanos() >= 0);
  }

  /** Returns whether the database takes requests, however old its data. */
  static boolean canServe(GroupTracker tracker, RoutingContext context, String id) {
    return tracker.usable(id) && context.available().test(id);
  }
}
