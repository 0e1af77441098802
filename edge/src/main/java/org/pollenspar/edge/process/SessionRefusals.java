package org.pollenspar.edge.process;

import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.Refusal;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteTable;

/** Decides whether a session may be opened. */
final class SessionRefusals {
  private SessionRefusals() {}

  /**
   * Returns the refusal of a session; null if it may be opened.
   *
   * @param stopping whether this process is about to exit
   * @param admitted whether the caller is served on a route
   */
  static @Nullable Refusal of(
      RouteTable routes, boolean stopping, String database, Predicate<Route> admitted) {
    if (stopping) {
      return new Refusal(
          AnswerCode.BUSY, "this host is stopping; connect again to reach another host");
    }
    if (routes.version() < 0) {
      return new Refusal(AnswerCode.BUSY, "this host has no configuration yet; retry in 500 ms");
    }
    @Nullable Route route = routes.route(database);
    if (route == null) {
      return new Refusal(AnswerCode.UNKNOWN_DATABASE, "no route has the database name " + database);
    }
    return admitted.test(route)
        ? null
        : new Refusal(
            AnswerCode.DENIED,
            "no organisation holds this key; connect with a key that is configured");
  }
}
