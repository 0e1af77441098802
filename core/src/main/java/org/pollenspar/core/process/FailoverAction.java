package org.pollenspar.core.process;

/** Next step of an agent for a group; its result is passed back to {@link FailoverPolicy}. */
public sealed interface FailoverAction {

  /** There is nothing to do now. */
  record None() implements FailoverAction {}

  /** Read the platform's state of the group. */
  record ReadSummary() implements FailoverAction {}

  /** Take the advisory lease of the group, so that other agents do not act meanwhile. */
  record TakeLease() implements FailoverAction {}

  /**
   * Fence the group: order its databases to refuse terms below this one.
   *
   * @param term new term
   */
  record Fence(long term) implements FailoverAction {}

  /**
   * Make a database the primary.
   *
   * @param term fenced term
   * @param databaseId new primary
   */
  record Promote(long term, String databaseId) implements FailoverAction {}
}
