package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;

/**
 * The commits of one session, for later reads that must include them.
 *
 * <p>The position of the last commit is kept by group, since a route may move to another group
 * during the session and positions in the logs of two groups can't be compared.
 *
 * <p>A database may acknowledge a commit without stating a position that covers it. No replica can
 * then be asked for the commit, so the session's reads run at the primary. The first of them whose
 * answer states a later position than those known before also covers the commit, because it was
 * sent after the acknowledgement.
 */
final class SessionCommits {
  private final Map<String, Position> last = new HashMap<>();

  /** Groups whose last commit may be after the position in {@link #last}. */
  private final Set<String> uncovered = new HashSet<>();

  /**
   * Records an acknowledged commit.
   *
   * @param position position that covers the commit; null if none is known
   */
  void committed(String group, @Nullable Position position) {
    if (position == null) {
      uncovered.add(group);
    } else {
      last.merge(group, position, Position::max);
      uncovered.remove(group);
    }
  }

  /** Records the position that an answer to a read on a route from {@link #routeFor} states. */
  void read(Route used, @Nullable Position position) {
    String group = used.group();
    if (position == null || used.kind() != RouteKind.PRIMARY || !uncovered.contains(group)) {
      return;
    }
    @Nullable Position known = last.get(group);
    if (known == null || position.compareTo(known) > 0) {
      committed(group, position);
    }
  }

  /** Returns the position of the last commit in a group; null if there is none or it is unknown. */
  @Nullable Position last(String group) {
    return last.get(group);
  }

  /**
   * Returns the route by which the session reads now: the given one, or one that reads at the
   * primary if a read must include a commit whose position isn't known.
   */
  Route routeFor(Route route) {
    boolean atPrimary =
        route.kind() == RouteKind.READ_YOUR_WRITES && uncovered.contains(route.group());
    return atPrimary ? route.withKind(RouteKind.PRIMARY) : route;
  }
}
