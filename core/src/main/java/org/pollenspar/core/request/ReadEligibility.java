package org.pollenspar.core.request;

import org.pollenspar.core.connection.GroupTracker;

/** Whether a database can serve a read, by what is known of it. */
final class ReadEligibility {

  private ReadEligibility() {}

  /** Returns whether the database takes requests and is known to be fresh enough. */
  static boolean satisfies(
      ReadRequirement need, GroupTracker tracker, RoutingContext view, String id) {
    return canServe(tracker, view, id)
        && tracker.state(id).stream().anyMatch(state -> state.position().includes(need.position()))
        && tracker.confirmedSampleNanos(id).stream()
            .anyMatch(sample -> sample - need.minSampleNanos() >= 0);
  }

  /** Returns whether the database takes requests. */
  static boolean canServe(GroupTracker tracker, RoutingContext view, String id) {
    return tracker.usable(id) && view.available().test(id);
  }
}
