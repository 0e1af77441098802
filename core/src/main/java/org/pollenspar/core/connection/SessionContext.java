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
 * Dependencies that all sessions of a process share.
 *
 * @param routes routes of the configuration that is in force
 * @param executors runs statements of a group, by its name; null if the group is unknown
 * @param clocks source of the time
 * @param timers runs delayed tasks on the thread that runs the sessions
 * @param decisions receives the final answer of each statement
 */
public record SessionContext(
    Supplier<RouteTable> routes,
    Function<String, @Nullable StatementExecutor> executors,
    Clocks clocks,
    Timers timers,
    DecisionListener decisions) {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Returns how long a request may still wait within the target latency of its route. */
  long maxWaitNanos(Route route, SessionRequest request) {
    return route.targetLatencyMillis() * NANOS_PER_MILLI
        - (clocks.steadyNanos() - request.arrivedNanos());
  }
}
