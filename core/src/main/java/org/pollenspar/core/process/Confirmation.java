package org.pollenspar.core.process;

import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Evidence that no change of a primary has begun that this host does not know of. A host uses
 * primaries only while its confirmation is valid.
 *
 * <p>The age counts from the {@link ClockReading} at which the request was sent, because a change
 * may begin while the answer is under way. A time of day that jumps forward only makes the
 * confirmation expire early. Small jumps back are covered by {@link #MARGIN_MS}, which a host that
 * replaces a primary waits in addition.
 */
public final class Confirmation {
  /** How long a confirmation is valid, in milliseconds. */
  public static final long VALID_MS = 6_000;

  /**
   * How long after the store's last confirmation the other members may extend it, in milliseconds.
   * The limit is needed because neither they nor this host may know of a member that joined later;
   * the store may serve that member, which can then begin a change.
   */
  private static final long MAX_EXTENSION_MS = 15_000;

  /** Waited in addition to {@link #VALID_MS}, for clocks that differ and answers under way. */
  static final long MARGIN_MS = 500;

  /** After this time without the store no host uses primaries, whatever other members report. */
  static final long MAX_WITHOUT_STORE_MS = MAX_EXTENSION_MS + VALID_MS + MARGIN_MS;

  private final Clocks clocks;
  private @Nullable ClockReading confirmedAt;
  private @Nullable ClockReading confirmedByStoreAt;

  /** Creates a confirmation that is not valid before its first renewal. */
  public Confirmation(Clocks clocks) {
    this.clocks = clocks;
  }

  /** Reads the clocks; the result is passed to {@link #renewed} once the answer has arrived. */
  public ClockReading now() {
    return ClockReading.now(clocks);
  }

  /** Records a confirmation by the store whose request was sent at {@code sent}. */
  public void renewed(ClockReading sent) {
    confirmedAt = sent;
    confirmedByStoreAt = sent;
  }

  /** Returns whether other members may still extend the store's last confirmation. */
  boolean extendable() {
    @Nullable ClockReading last = confirmedByStoreAt;
    return last != null && last.ageMillis(clocks) < MAX_EXTENSION_MS;
  }

  /** Records that all other members, asked at {@code sent}, extended the confirmation. */
  void extended(ClockReading sent) {
    confirmedAt = sent;
  }

  /** Makes the confirmation invalid until the next renewal by the store. */
  public void withdraw() {
    confirmedAt = null;
    confirmedByStoreAt = null;
  }

  /** Returns whether the confirmation is valid, so that primaries may be used. */
  public boolean holds() {
    return ageMillis() < VALID_MS;
  }

  /** Returns for how many milliseconds it is still valid if it isn't renewed; 0 if it isn't. */
  public long remainingMillis() {
    return Math.max(0, VALID_MS - ageMillis());
  }

  /** Returns a check whether the present confirmation still is valid, whatever renewals follow. */
  BooleanSupplier withoutRenewals() {
    @Nullable ClockReading sent = confirmedAt;
    return () -> sent != null && sent.ageMillis(clocks) < VALID_MS;
  }

  /** Returns the age in milliseconds; {@link Long#MAX_VALUE} without a confirmation. */
  public long ageMillis() {
    @Nullable ClockReading sent = confirmedAt;
    return sent == null ? Long.MAX_VALUE : sent.ageMillis(clocks);
  }
}
