package org.pollenspar.core.connection;

/**
 * A position in the replicated log of a group.
 *
 * @param term term of the primary that wrote it
 * @param offset number of the log entry, counted over all terms
 */
public record Position(long term, long offset) implements Comparable<Position> {
  /** Position before the first write. */
  public static final Position ZERO = new Position(0, 0);

  @Override
  public int compareTo(Position other) {
    int byTerm = Long.compare(term, other.term);
    return byTerm != 0 ? byTerm : Long.compare(offset, other.offset);
  }

  /** Returns the later of two positions. */
  public Position max(Position other) {
    return compareTo(other) >= 0 ? this : other;
  }

  /**
   * Returns whether a log that reached this position holds every acknowledged write up to {@code
   * needed}. The offset alone proves nothing, since a log of an older term may end in entries that
   * were never acknowledged.
   */
  public boolean includes(Position needed) {
    return term >= needed.term && offset >= needed.offset;
  }
}
