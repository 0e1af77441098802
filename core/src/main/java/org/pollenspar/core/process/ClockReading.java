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

  /** Reads both clocks. */
  public static ClockReading now(Clocks clocks) {
    return new ClockReading(clocks.steadyNanos(), clocks.wallMillis());
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

  private long steadyMillis(Clocks clocks) {
    return (clocks.steadyNanos() - steadyNanos) / NANOS_PER_MILLI;
  }
}
