package org.pollenspar.core.version;

/**
 * The rules by which the statements for one database name are served.
 *
 * @param name name of the route
 * @param database database name that callers use
 * @param group database group that serves it
 * @param kind rule for the databases that may answer reads
 * @param maxStalenessMillis maximum age of the data that a read returns; not used by {@link
 *     RouteKind#PRIMARY}
 * @param statementTimeoutMillis timeout of one statement
 * @param targetLatencyMillis latency objective of one operation
 * @param priority 0 is the most urgent
 * @param isPublic whether callers need no key
 */
public record Route(
    String name,
    String database,
    String group,
    RouteKind kind,
    long maxStalenessMillis,
    long statementTimeoutMillis,
    long targetLatencyMillis,
    int priority,
    boolean isPublic) {

  /** Creates a route that isn't public. */
  public Route(
      String name,
      String database,
      String group,
      RouteKind kind,
      long maxStalenessMillis,
      long statementTimeoutMillis,
      long targetLatencyMillis,
      int priority) {
    this(
        name,
        database,
        group,
        kind,
        maxStalenessMillis,
        statementTimeoutMillis,
        targetLatencyMillis,
        priority,
        false);
  }

  /** Returns this route with another rule for the databases that may answer reads. */
  public Route withKind(RouteKind newKind) {
    return new Route(
        name,
        database,
        group,
        newKind,
        maxStalenessMillis,
        statementTimeoutMillis,
        targetLatencyMillis,
        priority,
        isPublic);
  }

  /** Returns this route with another time limit of statements. */
  public Route withStatementTimeout(long millis) {
    return new Route(
        name,
        database,
        group,
        kind,
        maxStalenessMillis,
        millis,
        targetLatencyMillis,
        priority,
        isPublic);
  }
}
