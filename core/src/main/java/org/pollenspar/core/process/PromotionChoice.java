package org.pollenspar.core.process;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pollenspar.core.connection.DatabaseState;

/**
 * Chooses the new primary among fenced databases.
 *
 * <p>Let n be the size of the group, m its majority and f the number of fenced databases. A
 * position that a majority had reached before the fence is reached by at least k = m - (n - f) of
 * the fenced databases. So every database at least as advanced as the k-th most advanced one holds
 * every acknowledged write. With a bare majority fenced, k is 1 and only the most advanced database
 * qualifies. With all of three fenced, k is 2: a primary on a leaving host can be replaced although
 * it is a little ahead of its replicas. If the most advanced database were required, the leaving
 * primary would be promoted again and again.
 */
public final class PromotionChoice {
  private static final Comparator<DatabaseState> BY_POSITION =
      Comparator.comparing(DatabaseState::position);

  private PromotionChoice() {}

  /**
   * Returns the database to promote: the most advanced that stays, if it holds every acknowledged
   * write, else the most advanced of all.
   *
   * @param fenced databases that confirmed the fence
   * @param groupSize databases of the group
   * @param leaving databases on hosts that leave the fleet
   * @return empty without a fenced majority
   */
  public static Optional<String> choose(
      List<DatabaseState> fenced, int groupSize, Set<String> leaving) {
    int required = minimumHolders(fenced.size(), groupSize);
    if (required < 1) {
      return Optional.empty();
    }
    List<DatabaseState> ordered = fenced.stream().sorted(BY_POSITION.reversed()).toList();
    DatabaseState bound = ordered.get(required - 1);
    return ordered.stream()
        .filter(state -> state.position().compareTo(bound.position()) >= 0)
        .filter(state -> !leaving.contains(state.databaseId()))
        .findFirst()
        .or(() -> Optional.of(ordered.get(0)))
        .map(DatabaseState::databaseId);
  }

  /** Returns k as defined in the class comment; below 1 if no majority is fenced. */
  public static int minimumHolders(int fenced, int groupSize) {
    return groupSize / 2 + 1 - (groupSize - fenced);
  }
}
