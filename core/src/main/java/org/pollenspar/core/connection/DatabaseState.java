package org.pollenspar.core.connection;

/**
 * The state of one database, as its answer to a probe reports it.
 *
 * @param databaseId name of the database
 * @param role role that the database believes it has
 * @param fencedTerm the database refuses all terms below this one
 * @param logTerm term of the last log entry; a new primary opens its term with an empty entry, so a
 *     log of a term holds everything before that term's start
 * @param logOffset offset of the last log entry
 * @param connections number of open connections, including the one of the probe
 */
public record DatabaseState(
    String databaseId,
    DatabaseRole role,
    long fencedTerm,
    long logTerm,
    long logOffset,
    int connections) {

  /** Returns the position of the end of its log. */
  public Position position() {
    return new Position(logTerm, logOffset);
  }

  /** Returns whether it is a primary and not fenced. */
  public boolean leads() {
    return role == DatabaseRole.PRIMARY && fencedTerm <= logTerm;
  }

  /**
   * Returns the later of two states of one database that were observed in unknown order. The fence
   * and the position within a term only grow, so they tell the order.
   */
  public DatabaseState later(DatabaseState other) {
    if (fencedTerm != other.fencedTerm) {
      return fencedTerm > other.fencedTerm ? this : other;
    }
    return position().compareTo(other.position()) > 0 ? this : other;
  }
}
