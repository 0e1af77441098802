package org.pollenspar.core.connection;

/**
 * Registration of a database in the coordination store, written by the database itself.
 *
 * @param id identity; unlike the address, it is never reused by another database
 * @param group database group
 * @param host IP address
 * @param port TCP port
 * @param domain failure domain
 * @param capacity number of statements that it runs at once
 * @param draining whether it is about to leave the fleet and takes no new work
 * @param primary whether it believes that it is the primary
 * @param born when it was started, in milliseconds since 1970; 0 if unknown. A database that starts
 *     again under its id holds nothing of before
 */
public record DatabaseEntry(
    String id,
    String group,
    String host,
    int port,
    String domain,
    int capacity,
    boolean draining,
    boolean primary,
    long born) {
  /** Returns whether an entry is that of the same database, started at the same time. */
  public boolean sameIncarnation(DatabaseEntry other) {
    return incarnation().equals(other.incarnation());
  }

  /** Returns a name that the database loses when it starts again under its id. */
  public String incarnation() {
    return incarnation(id, born);
  }

  /** Returns the name of a database from its start until it starts again. */
  public static String incarnation(String id, long born) {
    return born == 0 ? id : id + "@" + born;
  }
}
