package org.pollenspar.core.request;

import org.pollenspar.core.connection.Position;

/**
 * What one read requires of the database that serves it.
 *
 * @param group group that is read
 * @param position position of the session's last acknowledged write, which must be included
 * @param stalenessNanos age up to which writes of other sessions may be missing; 0 if none may
 * @param arrivalNanos monotonic time at which the read arrived at this process
 * @param deadlineNanos monotonic time after which the read may not start
 */
public record ReadRequirement(
    String group, Position position, long stalenessNanos, long arrivalNanos, long deadlineNanos) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Returns the requirement of a request whose times were taken from this process's clock. */
  public static ReadRequirement of(WorkRequest request) {
    return new ReadRequirement(
        request.group(),
        request.sessionPosition(),
        request.kind().stalenessMillis() * NANOS_PER_MILLI,
        request.arrivalNanos(),
        request.deadlineNanos());
  }

  /**
   * Returns the oldest sample time that the read accepts: the data must include every write that
   * was acknowledged before it.
   */
  public long minSampleNanos() {
    return arrivalNanos - stalenessNanos;
  }
}
