package org.pollenspar.core.process;

/**
 * A reading of the steady clock and of the time of day, taken together.
 *
 * <p>The age of a reading is the larger of the times that have passed on the two clocks. The steady
 * clock stops while a host is paused, and a time of day that jumps forward only makes the reading
 * look older. A pause during which the time of day also jumps back is not detected.
 */
public record ClockReading(long steadyNanos, long wallMillis) {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Advance of the time of day over the steady clock that shows a pause. Below that, the staleness
   * that is reserved for the network covers it.
   */
  private static final long PAUSE_MS = 300;

  /** Reads both clocks. */
  public static ClockReading now(Clocks clocks) {
    return new ClockReading(clocks.steadyNanos(), clocks.wallMillis());
  }

  /** Returns the time from this reading to a later one, in nanoseconds. */
  public long nanosUntil(ClockReading later) {
    return Math.max(
        later.steadyNanos - steadyNanos, (later.wallMillis - wallMillis) * NANOS_PER_MILLI);
  }

  /** Returns the time since this reading, in milliseconds. */
  public long ageMillis(Clocks clocks) {
    return Math.max(steadyMillis(clocks), clocks.wallMillis() - wallMillis);
  }

  /**
   * Returns for how long the host was paused since this reading: by how many milliseconds the time
   * of day advanced more than the steady clock.
   */
  public long pausedMillis(Clocks clocks) {
    return clocks.wallMillis() - wallMillis - steadyMillis(clocks);
  }

  /** Returns whether the host was paused since this reading. */
  public boolean pausedSince(Clocks clocks) {
    return pausedMillis(clocks) > PAUSE_MS;
  }

  private long steadyMillis(Clocks clocks) {
    return (clocks.steadyNanos() - steadyNanos) / NANOS_PER_MILLI;
  }
}
