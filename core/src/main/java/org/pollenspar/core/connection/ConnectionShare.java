package org.pollenspar.core.connection;

/**
 * How many connections one home proxy may hold to one database.
 *
 * <p>While proxies disagree on the homes of a group, all their shares together may exceed the
 * limit; the database then refuses with SQLSTATE 53300 and {@link ConcurrencyLimit} shrinks.
 *
 * @param limit connections that all proxies together may open to the database
 * @param probes connections set aside for probes, one a home
 * @param homes home proxies of the group
 */
public record ConnectionShare(int limit, int probes, int homes) {

  /** Returns the share; at least 1, since a home without connections could serve nothing. */
  public int share() {
    return Math.max(1, (limit - probes) / Math.max(1, homes));
  }
}
