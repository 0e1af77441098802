package org.pollenspar.core.process;

import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/** What the host with the duty needs to replace primaries and to give members up. */
record ControlContext(
    CoordinationStore store,
    FleetTable table,
    DatabaseControl databases,
    FleetMessages messages,
    PromotionService promotions,
    Timers timers,
    Clocks clocks,
    ControlListener listener,
    String holder,
    BooleanSupplier failoverLeaseHeld) {

  /**
   * Returns whether a member whose proof this host can't ask about may still extend it by the word
   * of members that don't know this host: those that registered before it, within a time.
   */
  boolean mayNotKnowThisHost(String name) {
    if (table.unchangedForMillis(holder) >= Confirmation.MAX_WITHOUT_STORE_MS) {
      return false;
    }
    @Nullable Member member = table.member(name);
    long own = table.revision(ControlKeys.member(holder));
    return member == null || member.suspended() || table.revision(ControlKeys.member(name)) < own;
  }
}
