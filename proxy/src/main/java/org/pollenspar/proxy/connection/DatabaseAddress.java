package org.pollenspar.proxy.connection;

/**
 * Where a database listens, according to the host list.
 *
 * @param databaseId name of the database
 * @param address IP number of its backend server
 * @param port TCP port of its PostgreSQL protocol
 * @param domain failure domain of the backend server
 * @param leaving whether the backend server leaves the fleet
 */
public record DatabaseAddress(
    String databaseId, String address, int port, String domain, boolean leaving) {

  /** Returns whether both name the same listener, whatever its state. */
  boolean sameListener(DatabaseAddress other) {
    return address.equals(other.address) && port == other.port;
  }
}
