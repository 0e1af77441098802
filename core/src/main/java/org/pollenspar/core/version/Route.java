package org.pollenspar.core.version;

/**
 * How the statements for one database name are served.
 *
 * @param name name of the route
 * @param database name that callers use
 * @param group database group that serves it
 * @param kind which databases may answer reads
 * @param maxStalenessMillis bound on the age of reads; not used by {@link RouteKind#PRIMARY}
 * @param statementTimeoutMillis limit of one statement
 * @param targetLatencyMillis objective of one operation
 * @param priority 0 is the most urgent
 */
public record Route(
    String name,
    String database,
    String group,
    RouteKind kind,
    long maxStalenessMillis,
    long statementTimeoutMillis,
    long targetLatencyMillis,
    int priority) {}
