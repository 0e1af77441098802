package org.pollenspar.core.process;

import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * What the holder of the failover lease needs to replace primaries and to remove failed members.
 */
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
   * Returns whether a member that does not answer may still have its confirmation extended by
   * members that do not know this host.
   *
   * <p>Only members that registered before this host may not know it, and they can extend a
   * confirmation for at most {@link Confirmation#MAX_WITHOUT_STORE_MS} after this host registered.
   * A suspended member counts as one of them, since its record no longer shows when it registered.
   */
  boolean mayNotKnowThisHost(String name) {
    if (table.unchangedForMillis(holder) >= Confirmation.MAX_WITHOUT_STORE_MS) {
      return false;
    }
    @Nullable Member member = table.member(name);
    long own = table.revision(ControlKeys.member(holder));
    return member == null || member.suspended() || table.revision(ControlKeys.member(name)) < own;
  }

  /** Returns the recorded databases of a group and those that this host has seen beside them. */
  ReplicaSet replicas(String group) {
    return ReplicaSet.decode(table.value(ControlKeys.replicas(group)))
        .with(databases.lapsed(group), databases.candidates(group));
  }
}
