package org.pollenspar.core.process;

/** What a {@link FailoverPolicy} wants done; the answer is handed back with the action's id. */
public sealed interface FailoverAction {

  /** Returns the id that the answer must repeat. */
  long id();

  /** Take the group's advisory lease. */
  record TakeLease(long id) implements FailoverAction {}

  /** Fence the group at a term. */
  record Fence(long id, long term) implements FailoverAction {}

  /** Make a database the primary of a term. */
  record Promote(long id, long term, String databaseId) implements FailoverAction {}

  /** Read the group's term at the platform, since another owner has a higher one. */
  record ReadTerm(long id) implements FailoverAction {}
}
