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
 */
public record DatabaseEntry(
    String id,
    String group,
    String host,
    int port,
    String domain,
    int capacity,
    boolean draining,
    boolean primary) {}
