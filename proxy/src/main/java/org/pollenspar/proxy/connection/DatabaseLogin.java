package org.pollenspar.proxy.connection;

import java.time.Duration;

/**
 * Credentials and timeout for opening connections to databases.
 *
 * @param user PostgreSQL role of the proxies
 * @param password its password; empty if none is needed
 * @param database name of the PostgreSQL database
 * @param connectTimeout longest wait for each step of opening a connection; rounded down to whole
 *     seconds, at least 1 s
 */
public record DatabaseLogin(
    String user, String password, String database, Duration connectTimeout) {}
