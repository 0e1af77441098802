package org.pollenspar.core.process;

/** Why a primary is to be replaced. */
public enum SuspicionCause {
  /** No home in at least two failure domains has reached the primary for the suspicion time. */
  UNREACHABLE,

  /**
   * The primary answers the homes, but no majority receives its log: it is cut off from its group
   * and still believes that it leads. Lagging replicas look the same to the homes, so the platform
   * must confirm that it does not reach the primary either.
   */
  NOT_REPLICATING {
    @Override
    boolean confirmedBy(GroupSummary summary) {
      return summary.primary().filter(summary.unreachable()::contains).isPresent();
    }
  },

  /** No database leads the highest term; an agent may have died between fence and promotion. */
  NO_PRIMARY {
    /** Another agent's promotion is under way between its fence and its answer. */
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

  /** Returns whether the platform's view permits the replacement. */
  boolean confirmedBy(GroupSummary summary) {
    return true;
  }
}
