package org.pollenspar.core.process;

/** What an agent does next for a group; the answer goes back to {@link FailoverPolicy}. */
public sealed interface FailoverAction {

  /** Nothing to do now. */
  record None() implements FailoverAction {}

  /** Read the platform's state of the group. */
  record ReadSummary() implements FailoverAction {}

  /** Take the advisory lease of the group. */
  record TakeLease() implements FailoverAction {}

  /**
   * Order the databases to refuse terms below this one.
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
