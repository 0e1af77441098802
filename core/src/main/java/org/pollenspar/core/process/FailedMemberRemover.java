package org.pollenspar.core.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Takes members that are gone off the list, so that a change of a primary need not wait for them.
 *
 * <p>A member that does not answer for a time is first marked as suspended and the shared lease is
 * ended: from then on it must register again before it can prove anything. Only after its last
 * proof has run out is it removed. Until then every change still waits for it.
 */
final class FailedMemberRemover {
  private static final long PING_MS = 1_000;
  private static final int MISSED_PINGS = 3;
  private static final long REMOVE_AFTER_MS = Confirmation.VALID_MS + 1_000;

  private final ControlContext context;
  private final Map<String, Integer> missed = new HashMap<>();
  private long lastNanos;
  private boolean started;

  FailedMemberRemover(ControlContext context) {
    this.context = context;
  }

  void tick() {
    long now = context.clocks().steadyNanos();
    if (started && now - lastNanos < PING_MS * 1_000_000) {
      return;
    }
    started = true;
    lastNanos = now;
    for (Member member : List.copyOf(context.table().members())) {
      if (member.suspended()) {
        removeIfExpired(member);
      } else if (!member.name().equals(context.holder())) {
        context.messages().ping(member, answered -> pinged(member, answered));
      }
    }
  }

  private void pinged(Member member, boolean answered) {
    if (answered) {
      missed.remove(member.name());
    } else if (missed.merge(member.name(), 1, Integer::sum) >= MISSED_PINGS) {
      missed.remove(member.name());
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
                context.listener().changed("member_suspended", member.name(), "no answer to pings");
                endSharedLease();
              }
            });
  }

  private void endSharedLease() {
    context.store().endLease(context.table().sharedLease(), ignored -> {});
  }

  private void removeIfExpired(Member member) {
    long voided = context.table().millisSinceLastPossibleRenewal(member.name());
    if (voided < 0) {
      endSharedLease();
      return;
    }
    if (voided < REMOVE_AFTER_MS || context.mayNotKnowThisHost(member.name())) {
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
