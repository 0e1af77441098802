package org.pollenspar.core.version;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * One version of the operators' configuration, in the form that request processing uses.
 *
 * @param version number that grows with each change
 * @param routes routes by database name
 * @param groups database groups by name
 * @param transactionIdleMillis time that an open transaction may wait for its next statement
 */
public record RouteTable(
    long version,
    Map<String, Route> routes,
    Map<String, Group> groups,
    long transactionIdleMillis) {

  /**
   * Limits of one database group.
   *
   * @param maxConnections maximum number of connections to each database from all hosts together
   * @param syncReplicas replicas that must have received a write before it is acknowledged
   */
  public record Group(int maxConnections, int syncReplicas) {}

  /** The table in use before any configuration is known; it has no routes. */
  public static final RouteTable EMPTY = new RouteTable(-1, Map.of(), Map.of(), 3000);

  /** Returns the route of a database name; null if there is none. */
  public @Nullable Route route(String database) {
    return routes.get(database);
  }
}
