package org.pollenspar.core.connection;

import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.request.AnswerCode;

/**
 * Backoff between attempts to connect to a database. It doubles with each failure; it is short and
 * constant if the database is out of connections.
 */
final class ConnectBackoff {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MIN_BACKOFF_MS = 100;
  private static final long MAX_BACKOFF_MS = 1_600;

  /**
   * All hosts share the connection limit, so a connection may become available at any moment. An
   * attempt is cheap, so this backoff stays short and doesn't grow.
   */
  private static final long CONNECTION_LIMIT_BACKOFF_MS = 150;

  private final Clocks clocks;
  private long millis;
  private long untilNanos;
  private boolean connectionLimitReached;

  ConnectBackoff(Clocks clocks) {
    this.clocks = clocks;
  }

  /** Begins a backoff after an attempt was refused; returns its length. */
  long begin(AnswerCode cause) {
    connectionLimitReached = cause == AnswerCode.CONNECTION_LIMIT;
    millis =
        connectionLimitReached
            ? CONNECTION_LIMIT_BACKOFF_MS
            : Math.min(MAX_BACKOFF_MS, Math.max(MIN_BACKOFF_MS, 2 * millis));
    untilNanos = clocks.steadyNanos() + millis * NANOS_PER_MILLI;
    return millis;
  }

  /** Ends the backoff, because the database has answered. */
  void end() {
    millis = 0;
  }

  boolean active() {
    return millis > 0 && clocks.steadyNanos() - untilNanos < 0;
  }

  /** Returns whether the backoff, if active, is due to the database's connection limit. */
  boolean connectionLimitReached() {
    return connectionLimitReached;
  }

  /** Returns the time after which an active backoff has certainly ended. */
  long remainingMillis() {
    return (untilNanos - clocks.steadyNanos()) / NANOS_PER_MILLI + 1;
  }
}
