package org.pollenspar.core.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Pings the other members and removes failed ones, so that changes of primaries need not wait for
 * them. Runs on the host that holds the failover lease.
 *
 * <p>A member that misses several pings in a row is first marked as suspended, and the shared lease
 * is ended: from then on the member must register again before it can renew its {@link
 * Confirmation}. It is removed only after its last confirmation has expired. Until then every
 * change still waits for it.
 */
final class FailedMemberRemover {
  private static final long PING_INTERVAL_MS = 1_000;
  private static final int SUSPEND_AFTER_MISSED_PINGS = 3;

  /** Longer than a confirmation can be valid after its last renewal. */
  private static final long REMOVE_AFTER_MS = Confirmation.VALID_MS + 1_000;

  private final ControlContext context;
  private final Map<String, Integer> missedPings = new HashMap<>();
  private long lastPingNanos;
  private boolean started;

  FailedMemberRemover(ControlContext context) {
    this.context = context;
  }

  void tick() {
    long now = context.clocks().steadyNanos();
    if (started && now - lastPingNanos < PING_INTERVAL_MS * 1_000_000) {
      return;
    }
    started = true;
    lastPingNanos = now;
    for (Member member : List.copyOf(context.table().members())) {
      if (member.suspended()) {
        removeIfExpired(member);
      } else if (!member.name().equals(context.holder())) {
        context.messages().ping(member, answered -> pingEnded(member, answered));
      }
    }
  }

  private void pingEnded(Member member, boolean answered) {
    if (answered) {
      missedPings.remove(member.name());
    } else if (missedPings.merge(member.name(), 1, Integer::sum) >= SUSPEND_AFTER_MISSED_PINGS) {
      missedPings.remove(member.name());
      suspend(member);
    }
  }

  private void suspend(Member member) {
    String key = ControlKeys.member(member.name());
    context
        .store()
        .transact(
            List.of(new CoordinationStore.Expectation(key, context.table().revision(key))),
            List.of(new CoordinationStore.Put(key, ControlKeys.encode(member.asSuspended()), 0)),
            List.of(),
            reply -> {
              if (reply.done()) {
                context
                    .listener()
                    .changed("member_suspended", member.name(), "did not answer consecutive pings");
                endSharedLease();
              }
            });
  }

  private void endSharedLease() {
    context.store().endLease(context.table().sharedLease(), ignored -> {});
  }

  private void removeIfExpired(Member member) {
    long sinceLastRenewal = context.table().millisSinceLastPossibleRenewal(member.name());
    if (sinceLastRenewal < 0) {
      // The member may still renew, for example because an earlier attempt to end the lease failed.
      endSharedLease();
      return;
    }
    if (sinceLastRenewal < REMOVE_AFTER_MS || context.mayNotKnowThisHost(member.name())) {
      return;
    }
    String key = ControlKeys.member(member.name());
    context
        .store()
        .transact(
            List.of(new CoordinationStore.Expectation(key, context.table().revision(key))),
            List.of(),
            List.of(key),
            reply ->
                context.listener().changed("member_removed", member.name(), "" + reply.status()));
  }
}
