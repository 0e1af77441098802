package org.pollenspar.core.connection;

/**
 * Share of one home proxy in a database's connection limit.
 *
 * <p>While proxies disagree on the homes of a group, the sum of their shares may exceed the limit.
 * The database then refuses connections with SQLSTATE 53300, and {@link ConcurrencyLimit} lowers
 * its limit.
 *
 * @param limit connections that all proxies together may open to the database
 * @param probes connections reserved for probes, one per home
 * @param homes number of home proxies of the group, which share the limit
 */
public record ConnectionShare(int limit, int probes, int homes) {

  /** Returns the share; at least 1, since a home without a connection could serve nothing. */
  public int share() {
    return Math.max(1, (limit - probes) / Math.max(1, homes));
  }
}
