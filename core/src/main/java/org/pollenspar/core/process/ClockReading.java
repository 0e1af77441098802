package org.pollenspar.core.process;

/**
 * A moment by both clocks.
 *
 * <p>Elapsed time is the larger of what the steady clock and the time of day say: the steady clock
 * stops while a host is suspended, and a time of day that jumps forward only makes something look
 * older. What is missed is a suspension during which the time of day also jumps back.
 */
public record ClockReading(long steadyNanos, long wallMillis) {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Returns the present moment. */
  public static ClockReading now(Clocks clocks) {
    return new ClockReading(clocks.steadyNanos(), clocks.wallMillis());
  }

  /** Returns the time since, in milliseconds. */
  public long ageMillis(Clocks clocks) {
    return Math.max(steadyMillis(clocks), clocks.wallMillis() - wallMillis);
  }

  /** Returns by how much the time of day advanced more than the steady clock, in milliseconds. */
  public long pausedMillis(Clocks clocks) {
    return clocks.wallMillis() - wallMillis - steadyMillis(clocks);
  }

  private long steadyMillis(Clocks clocks) {
    return (clocks.steadyNanos() - steadyNanos) / NANOS_PER_MILLI;
  }
}
