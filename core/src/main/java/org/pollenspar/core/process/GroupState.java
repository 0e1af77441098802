package org.pollenspar.core.process;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** What the holder of the failover lease knows of a group; discarded when it loses the lease. */
final class GroupState {
  final PromotionCalls calls;
  @Nullable PrimaryChange change;
  boolean probing;
  long failedProbesSinceNanos;
  int failedProbes;
  boolean askingMembers;
  long unregisteredSinceNanos;
  boolean unregistered;
  long pauseUntilNanos;
  boolean paused;

  /** When databases that claim to be the primary, but aren't recorded as such, were asked. */
  final Map<String, Long> claimsCheckedNanos = new HashMap<>();

  GroupState(PromotionCalls calls) {
    this.calls = calls;
  }
}
