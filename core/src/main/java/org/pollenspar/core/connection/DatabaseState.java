package org.pollenspar.core.connection;

/**
 * The state of one database as it answered to a probe.
 *
 * @param databaseId name of the database
 * @param role what it believes it is
 * @param fencedTerm terms below this one are refused by the database
 * @param logTerm term of the last log entry; a new primary opens its term with an empty entry, so a
 *     log of a term holds everything before that term's start
 * @param logOffset last log entry it holds
 * @param connections open connections, this one included
 */
public record DatabaseState(
    String databaseId,
    DatabaseRole role,
    long fencedTerm,
    long logTerm,
    long logOffset,
    int connections) {

  /** Returns the position of its log. */
  public Position position() {
    return new Position(logTerm, logOffset);
  }

  /** Returns whether it is a primary that no fence has stopped. */
  public boolean leads() {
    return role == DatabaseRole.PRIMARY && fencedTerm <= logTerm;
  }

  /**
   * Returns the later of two states of one database whose order is not known: its fence and the
   * position within a term only grow.
   */
  public DatabaseState further(DatabaseState other) {
    if (fencedTerm != other.fencedTerm) {
      return fencedTerm > other.fencedTerm ? this : other;
    }
    return position().compareTo(other.position()) > 0 ? this : other;
  }
}
