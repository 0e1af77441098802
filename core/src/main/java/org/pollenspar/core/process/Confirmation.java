package org.pollenspar.core.process;

import org.jspecify.annotations.Nullable;

/**
 * How long ago it was proved that no change of a primary has begun since the table of primaries was
 * read.
 *
 * <p>The proof counts from the {@link Moment} its request was sent. A time of day that jumps
 * forward only costs an early renewal; the margin of whoever replaces a primary covers small jumps
 * back.
 */
public final class Confirmation {
  /** How long a proof lets a host use primaries, in milliseconds. */
  public static final long VALID_MS = 6_000;

  private final Clocks clocks;
  private @Nullable Moment proof;

  /** Creates a confirmation that does not hold yet. */
  public Confirmation(Clocks clocks) {
    this.clocks = clocks;
  }

  /** Returns the present moment, to be passed to {@link #renewed} once the answer arrives. */
  public Moment now() {
    return Moment.now(clocks);
  }

  /** Records a proof whose request was sent at {@code sent}. */
  public void renewed(Moment sent) {
    proof = sent;
  }

  /** Withdraws the proof until the next renewal. */
  public void withdraw() {
    proof = null;
  }

  /** Returns whether primaries may be used. */
  public boolean holds() {
    return ageMillis() < VALID_MS;
  }

  /** Returns the age of the proof in milliseconds; {@link Long#MAX_VALUE} without one. */
  public long ageMillis() {
    @Nullable Moment sent = proof;
    return sent == null ? Long.MAX_VALUE : sent.ageMillis(clocks);
  }
}
