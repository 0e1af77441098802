package org.pollenspar.core.request;

import org.pollenspar.core.connection.Position;

/**
 * What one read needs of the database that serves it.
 *
 * @param group group that is read
 * @param position the session's last acknowledged write
 * @param stalenessNanos age that the read accepts beyond that; 0 for none
 * @param arrivalNanos when the read arrived at this process
 * @param deadlineNanos time after which it may not start
 */
public record ReadRequirement(
    String group, Position position, long stalenessNanos, long arrivalNanos, long deadlineNanos) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Returns the need of a request whose times are of this process's clock. */
  public static ReadRequirement of(WorkRequest request) {
    return new ReadRequirement(
        request.group(),
        request.sessionPosition(),
        request.kind().stalenessMillis() * NANOS_PER_MILLI,
        request.arrivalNanos(),
        request.deadlineNanos());
  }

  /** Returns the time before which every acknowledged write must be included. */
  public long minSampleNanos() {
    return arrivalNanos - stalenessNanos;
  }
}
