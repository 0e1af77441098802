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
 * @param organisations organisations whose callers are served; null if callers need no keys
 */
public record RouteTable(
    long version,
    Map<String, Route> routes,
    Map<String, Group> groups,
    long transactionIdleMillis,
    @Nullable Organisations organisations) {

  /** Organisation of statements that run for none: those of hosts and on routes without keys. */
  public static final String NO_ORGANISATION = "";

  /** Creates a table in which callers need no keys. */
  public RouteTable(
      long version,
      Map<String, Route> routes,
      Map<String, Group> groups,
      long transactionIdleMillis) {
    this(version, routes, groups, transactionIdleMillis, null);
  }

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

  /**
   * Returns the name of the organisation for which a caller's statements run on a route, {@link
   * #NO_ORGANISATION} if the route needs no key; null if the key admits the caller to nothing.
   */
  public @Nullable String organisation(Route route, String key) {
    return organisations != null && needsKey(route) ? organisations.holderOf(key) : NO_ORGANISATION;
  }

  /** Returns whether callers of a route need a key. */
  public boolean needsKey(Route route) {
    return organisations != null && !route.isPublic();
  }

  /**
   * Returns the organisation for which statements of an organisation's callers run on a route;
   * {@link #NO_ORGANISATION} if the route needs no key; null if no organisation has the name.
   */
  public @Nullable String organisationNamed(Route route, String name) {
    if (organisations == null || !needsKey(route)) {
      return NO_ORGANISATION;
    }
    return organisations.named(name) == null ? null : name;
  }
}
