package org.pollenspar.proxy.connection;

/**
 * The address of a database, from the host list.
 *
 * @param databaseId name of the database
 * @param address IP address of its backend server
 * @param port TCP port of its PostgreSQL protocol
 * @param domain failure domain of the backend server
 * @param leaving whether the backend server is leaving the fleet
 */
public record DatabaseAddress(
    String databaseId, String address, int port, String domain, boolean leaving) {

  /** Returns whether both have the same IP address and port. */
  boolean sameListener(DatabaseAddress other) {
    return address.equals(other.address) && port == other.port;
  }
}
