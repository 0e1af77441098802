package org.pollenspar.core.process;

/**
 * The primary of a group, as recorded in the platform's store for all hosts.
 *
 * @param group database group
 * @param database id of the primary; while changing, of the one that is being replaced
 * @param term its term
 * @param changing whether a change of the primary is in progress
 * @param fence fencing token of the failover lease under which the record was written
 * @param candidate the only database that the platform may have been called to promote by a call
 *     that can still take effect; empty if none. While no change is in progress, it is the primary
 * @param candidateTerm while changing, the term that the candidate led before it was called, so
 *     that only a newer one shows the effect of a call; {@link #NO_TERM} if it led none
 * @param callerFence fence of the last holder of the failover lease that may have called for the
 *     candidate; {@link #UNKNOWN_FENCE} if there is no candidate or an older version wrote it
 * @param revision revision of the store at which it was written; orders records of a group
 */
public record PrimaryRecord(
    String group,
    String database,
    long term,
    boolean changing,
    long fence,
    String candidate,
    long candidateTerm,
    long callerFence,
    long revision) {
  /** Term of a database that leads none. */
  static final long NO_TERM = -1;

  /** Caller's fence of a record that names none; the store assigns only larger ones. */
  static final long UNKNOWN_FENCE = 0;

  /** Creates a record whose candidate leads no term and doesn't name its caller. */
  PrimaryRecord(
      String group,
      String database,
      long term,
      boolean changing,
      long fence,
      String candidate,
      long revision) {
    this(group, database, term, changing, fence, candidate, NO_TERM, UNKNOWN_FENCE, revision);
  }

  /** Creates the record of a primary that is not being replaced. */
  public static PrimaryRecord leading(
      String group, String database, long term, long fence, long revision) {
    return new PrimaryRecord(group, database, term, false, fence, "", revision);
  }

  /** Returns this record with a candidate and the fence of the last holder that called for it. */
  PrimaryRecord withCandidate(String newCandidate, long newCallerFence) {
    return new PrimaryRecord(
        group, database, term, changing, fence, newCandidate, NO_TERM, newCallerFence, revision);
  }

  /** Returns the record of a change of this primary by a holder that hasn't called yet. */
  PrimaryRecord changeBegun(long newFence) {
    return new PrimaryRecord(
        group, database, term, true, newFence, candidate, candidateTerm, callerFence, 0);
  }

  /** Returns the record of a change of this primary whose holder calls for a candidate. */
  PrimaryRecord changingTo(String newCandidate, long ledTerm, long newFence) {
    return new PrimaryRecord(
        group, database, term, true, newFence, newCandidate, ledTerm, newFence, 0);
  }

  /** Returns the record of a change whose intent was written at a revision. */
  PrimaryRecord revokedAt(long newRevision) {
    return new PrimaryRecord(
        group, database, term, true, fence, candidate, candidateTerm, callerFence, newRevision);
  }
}
