package org.pollenspar.core.process;

import org.jspecify.annotations.Nullable;

/**
 * How long ago it was proved that no change of a primary has begun since the table of primaries was
 * read.
 *
 * <p>The proof counts from the {@link ClockReading} its request was sent. A time of day that jumps
 * forward only costs an early renewal; the margin of whoever replaces a primary covers small jumps
 * back.
 */
public final class Confirmation {
  /** How long a proof lets a host use primaries, in milliseconds. */
  public static final long VALID_MS = 6_000;

  /**
   * How long after the store's last proof the word of the other members may extend it. They may
   * know as little as this host of a member that joined later.
   */
  private static final long EXTENSION_MS = 15_000;

  /** Added to the lifetime of proofs, for clocks that differ and answers under way. */
  static final long MARGIN_MS = 500;

  /** After this time without the store no host uses primaries, whatever other members say. */
  static final long MAX_WITHOUT_STORE_MS = EXTENSION_MS + VALID_MS + MARGIN_MS;

  private final Clocks clocks;
  private @Nullable ClockReading proof;
  private @Nullable ClockReading storeProof;

  /** Creates a confirmation that does not hold yet. */
  public Confirmation(Clocks clocks) {
    this.clocks = clocks;
  }

  /** Returns the present moment, to be passed to {@link #renewed} once the answer arrives. */
  public ClockReading now() {
    return ClockReading.now(clocks);
  }

  /** Records the store's proof whose request was sent at {@code sent}. */
  public void renewed(ClockReading sent) {
    proof = sent;
    storeProof = sent;
  }

  /** Returns whether other members may still extend the store's last proof. */
  boolean extendable() {
    @Nullable ClockReading last = storeProof;
    return last != null && last.ageMillis(clocks) < EXTENSION_MS;
  }

  /** Records that all other members extended the proof, asked at {@code sent}. */
  void extended(ClockReading sent) {
    proof = sent;
  }

  /** Withdraws the proof until the next renewal. */
  public void withdraw() {
    proof = null;
    storeProof = null;
  }

  /** Returns whether primaries may be used. */
  public boolean holds() {
    return ageMillis() < VALID_MS;
  }

  /** Returns the age of the proof in milliseconds; {@link Long#MAX_VALUE} without one. */
  public long ageMillis() {
    @Nullable ClockReading sent = proof;
    return sent == null ? Long.MAX_VALUE : sent.ageMillis(clocks);
  }
}
