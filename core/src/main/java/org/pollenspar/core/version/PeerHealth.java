package org.pollenspar.core.version;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;

/**
 * Failures and announced shutdowns of peers that this process has observed itself, before the host
 * list shows them.
 */
final class PeerHealth {
  /**
   * Time for which a peer that did not answer is avoided; whether it has left the fleet is decided
   * by the host list.
   */
  private static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Time for which an announced shutdown is believed: twice the longest drain. A peer that is still
   * listed after that has been restarted under the same id.
   */
  private static final long LEAVING_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final Map<String, Long> failedAt = new HashMap<>();
  private final Map<String, Long> leavingSince = new HashMap<>();

  void recordFailure(String peer, long nowNanos) {
    failedAt.put(peer, nowNanos);
  }

  void recordContact(String peer, boolean leaving, long nowNanos) {
    failedAt.remove(peer);
    if (leaving) {
      leavingSince.put(peer, nowNanos);
    } else {
      leavingSince.remove(peer);
    }
  }

  boolean hasRecentFailures(long nowNanos) {
    failedAt.values().removeIf(at -> nowNanos - at >= AVOID_NANOS);
    return !failedAt.isEmpty();
  }

  boolean isAvoided(String peer, long nowNanos) {
    Long at = failedAt.get(peer);
    return at != null && nowNanos - at < AVOID_NANOS;
  }

  Set<String> leavingPeers(long nowNanos) {
    leavingSince.values().removeIf(since -> nowNanos - since >= LEAVING_NANOS);
    return Set.copyOf(leavingSince.keySet());
  }

  /** Forgets peers that are not in the host list, so that the maps do not outgrow the fleet. */
  void retainListed(HostList list) {
    Set<String> listed = list.hosts().stream().map(Host::id).collect(Collectors.toSet());
    failedAt.keySet().retainAll(listed);
    leavingSince.keySet().retainAll(listed);
  }
}
