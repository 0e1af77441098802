package org.pollenspar.core.process;

/**
 * Who leads a group, as all hosts have agreed through the platform's store.
 *
 * @param group database group
 * @param database id of the primary; while changing, of the one that is being replaced
 * @param term its term
 * @param changing whether a replacement is under way
 * @param fence number of the duty that wrote the record
 * @param revision revision of the store at which it was written; orders records of a group
 */
public record PrimaryRecord(
    String group, String database, long term, boolean changing, long fence, long revision) {

  /** Returns the record of a change that began at a revision. */
  PrimaryRecord revokedAt(long newRevision) {
    return new PrimaryRecord(group, database, term, true, fence, newRevision);
  }
}
