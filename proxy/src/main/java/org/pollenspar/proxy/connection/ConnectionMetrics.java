package org.pollenspar.proxy.connection;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * Counters of database connections.
 *
 * @param connectionsOpened connections opened
 * @param connectionsClosed pooled connections closed
 * @param connectionsRefused openings that the database refused with SQLSTATE 53300 (too many
 *     connections)
 * @param connectionsFailed openings that failed for another reason
 */
public record ConnectionMetrics(
    Counter connectionsOpened,
    Counter connectionsClosed,
    Counter connectionsRefused,
    Counter connectionsFailed) {

  /** Registers the counters. */
  public static ConnectionMetrics in(MetricRegistry registry) {
    return new ConnectionMetrics(
        registry.counter("connections.opened"),
        registry.counter("connections.closed"),
        registry.counter("connections.refused"),
        registry.counter("connections.failed"));
  }
}
