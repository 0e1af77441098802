package org.pollenspar.proxy.connection;

import java.time.Duration;

/**
 * How connections to databases are opened.
 *
 * @param user role that the databases know the proxies by
 * @param password its password; empty if none is needed
 * @param database name of the PostgreSQL database
 * @param connectTimeout time allowed to open a connection
 */
public record DatabaseLogin(
    String user, String password, String database, Duration connectTimeout) {}
