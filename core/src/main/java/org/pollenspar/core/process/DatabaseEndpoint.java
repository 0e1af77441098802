package org.pollenspar.core.process;

/**
 * A database on a backend server.
 *
 * @param id unique name of the database
 * @param group name of its group
 * @param port TCP port of its PostgreSQL protocol
 */
public record DatabaseEndpoint(String id, String group, int port) {}
