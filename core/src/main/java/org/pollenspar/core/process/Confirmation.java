package org.pollenspar.core.process;

/**
 * How long ago it was proved that no change of a primary has begun since the table of primaries was
 * read.
 *
 * <p>The proof counts from the moment its request was sent. Elapsed time is the larger of what the
 * steady clock and the time of day say: the steady clock stops while a host is suspended, and a
 * time of day that jumps forward only costs an early renewal. What is missed is a suspension during
 * which the time of day also jumps back; the margin of whoever replaces a primary covers small
 * jumps.
 */
public final class Confirmation {
  /** How long a proof lets a host use primaries, in milliseconds. */
  public static final long VALID_MS = 6_000;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** When a request for a proof was sent. */
  public record Sent(long steadyNanos, long wallMillis) {}

  private final Clocks clocks;
  private boolean confirmed;
  private long steadyNanos;
  private long wallMillis;

  /** Creates a confirmation that does not hold yet. */
  public Confirmation(Clocks clocks) {
    this.clocks = clocks;
  }

  /** Returns the present moment, to be passed to {@link #renewed} once the answer arrives. */
  public Sent now() {
    return new Sent(clocks.steadyNanos(), clocks.wallMillis());
  }

  /** Records a proof whose request was sent at {@code sent}. */
  public void renewed(Sent sent) {
    confirmed = true;
    steadyNanos = sent.steadyNanos();
    wallMillis = sent.wallMillis();
  }

  /** Withdraws the proof until the next renewal. */
  public void withdraw() {
    confirmed = false;
  }

  /** Returns whether primaries may be used. */
  public boolean holds() {
    return confirmed && ageMillis() < VALID_MS;
  }

  /** Returns the age of the last proof in milliseconds. */
  public long ageMillis() {
    long steady = (clocks.steadyNanos() - steadyNanos) / NANOS_PER_MILLI;
    return Math.max(steady, clocks.wallMillis() - wallMillis);
  }
}
