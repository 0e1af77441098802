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
    long revision) {
  /** Term of a database that leads none. */
  static final long NO_TERM = -1;

  /** Creates a record whose candidate leads no term. */
  PrimaryRecord(
      String group,
      String database,
      long term,
      boolean changing,
      long fence,
      String candidate,
      long revision) {
    this(group, database, term, changing, fence, candidate, NO_TERM, revision);
  }

  /** Creates the record of a primary that is not being replaced. */
  public static PrimaryRecord leading(
      String group, String database, long term, long fence, long revision) {
    return new PrimaryRecord(group, database, term, false, fence, "", revision);
  }

  /** Returns this record with a candidate. */
  PrimaryRecord withCandidate(String newCandidate) {
    return new PrimaryRecord(group, database, term, changing, fence, newCandidate, revision);
  }

  /** Returns the record of a change of this primary that calls for a candidate. */
  PrimaryRecord changingTo(String newCandidate, long ledTerm, long newFence) {
    return new PrimaryRecord(group, database, term, true, newFence, newCandidate, ledTerm, 0);
  }

  /** Returns the record of a change whose intent was written at a revision. */
  PrimaryRecord revokedAt(long newRevision) {
    return new PrimaryRecord(
        group, database, term, true, fence, candidate, candidateTerm, newRevision);
  }
}
