package org.pollenspar.core.process;

/** Why a primary is to be replaced. */
public enum SuspicionCause {
  /** No home in at least two failure domains has reached the primary for the suspicion time. */
  UNREACHABLE,

  /**
   * The primary answers the homes, but no majority of the group receives its log: it is cut off
   * from its group and still acts as the primary. Lagging replicas look the same to the homes, so
   * the platform must confirm that it does not reach the primary either.
   */
  NOT_REPLICATING {
    @Override
    boolean confirmedBy(GroupSummary summary) {
      return summary.primary().filter(summary.unreachable()::contains).isPresent();
    }
  },

  /**
   * No database leads the highest term, for example because an agent failed between the fence and
   * the promotion.
   */
  NO_PRIMARY {
    /**
     * Leaves time for another agent that has fenced the group and is about to promote a database.
     */
    @Override
    long delayNanos(FailoverTiming timing) {
      return timing.suspicionNanos();
    }
  },

  /** The primary's host leaves the fleet. */
  LEAVING;

  /** Returns how long the evidence must last before the first agent acts. */
  long delayNanos(FailoverTiming timing) {
    return 0;
  }

  /** Returns whether the platform's view of the group supports the suspicion. */
  boolean confirmedBy(GroupSummary summary) {
    return true;
  }
}
