package org.pollenspar.edge.process;

import java.util.function.Consumer;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Confirmation;
import org.pollenspar.core.process.ControlListener;
import org.pollenspar.core.process.PrimaryAuthority;
import org.pollenspar.core.process.Timers;

/**
 * Answers the host that replaces a primary and asks this one to stop using it.
 *
 * <p>A revocation is acknowledged as soon as no write to the group is under way, at the latest
 * after {@link #TIMEOUT_MS}; the success of a write that is answered after that is not reported.
 *
 * <p>Not thread-safe: all calls come from the event loop.
 */
final class RevocationResponder {
  /** Longest wait for writes that are under way. */
  private static final long TIMEOUT_MS = 400;

  private final PrimaryAuthority authority;
  private final Confirmation confirmation;
  private final Clocks clocks;
  private final Timers timers;
  private final ControlListener log;

  RevocationResponder(
      PrimaryAuthority authority,
      Confirmation confirmation,
      Clocks clocks,
      Timers timers,
      ControlListener log) {
    this.authority = authority;
    this.confirmation = confirmation;
    this.clocks = clocks;
    this.timers = timers;
    this.log = log;
  }

  /**
   * Stops using a group's primary.
   *
   * @param revision revision of the store at which the intent to replace it was written
   */
  void revoke(String group, long revision, Consumer<Boolean> done) {
    authority.revoke(group, revision);
    long receivedNanos = clocks.steadyNanos();
    boolean[] acknowledged = {false};
    Runnable acknowledge =
        () -> {
          if (!acknowledged[0]) {
            acknowledged[0] = true;
            authority.revocationAcknowledged(group);
            done.accept(true);
            logAcknowledgement(group, revision, receivedNanos);
          }
        };
    authority.whenWritesFinished(group, acknowledge);
    timers.after(TIMEOUT_MS, acknowledge);
  }

  private void logAcknowledgement(String group, long revision, long receivedNanos) {
    long waitedMillis = (clocks.steadyNanos() - receivedNanos) / 1_000_000;
    long age = confirmation.ageMillis();
    log.changed(
        "revocation_acknowledged",
        group,
        "revision %d, after %d ms, %d writes in progress, confirmation %s"
            .formatted(
                revision,
                waitedMillis,
                authority.writesInProgress(group),
                age == Long.MAX_VALUE ? "missing" : age + " ms old"));
  }
}
