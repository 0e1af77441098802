package org.pollenspar.core.connection;

/**
 * A database as its own registration describes it.
 *
 * @param id identity, unlike the address never reused by another database
 * @param group database group
 * @param host IP address
 * @param port TCP port
 * @param domain failure domain
 * @param capacity statements that it runs at once
 * @param draining whether it leaves and takes no new work
 * @param primary whether it sees itself as the primary
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
