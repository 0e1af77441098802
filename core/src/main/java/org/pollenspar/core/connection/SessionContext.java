package org.pollenspar.core.connection;

import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteTable;

/**
 * What all sessions of a process share.
 *
 * @param routes the configuration in force
 * @param groups router of a group by name; null if the group is unknown
 * @param clocks time
 * @param timers delayed tasks on the owning thread
 * @param decisions receives each decision about a statement
 */
public record SessionContext(
    Supplier<RouteTable> routes,
    Function<String, @Nullable GroupRouter> groups,
    Clocks clocks,
    Timers timers,
    DecisionListener decisions) {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Returns how long a request may still wait and meet its route's objective, in nanoseconds. */
  long maxWaitNanos(Route route, SessionRequest request) {
    return route.targetLatencyMillis() * NANOS_PER_MILLI
        - (clocks.steadyNanos() - request.arrivedNanos());
  }
}
