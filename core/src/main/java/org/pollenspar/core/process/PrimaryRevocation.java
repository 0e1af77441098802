package org.pollenspar.core.process;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Waits until no member uses a group's old primary any more, after the intent to replace it was
 * written into the table.
 *
 * <p>First it ends the shared lease, so that no host can renew its {@link Confirmation} without
 * reading the intent. Then it asks each member to stop using the old primary. Of members that do
 * not answer, it waits until their confirmations have expired. For a member that was suspended
 * earlier, the wait counts from the moment this host saw that the member could not renew its
 * confirmation any more.
 *
 * <p>A process that registers during the revocation may take the name of a member that has not
 * answered. That member then becomes a suspended member with a name of its own, and is asked as
 * well.
 */
final class PrimaryRevocation {
  private static final long CONFIRMATION_EXPIRY_MS = Confirmation.VALID_MS + Confirmation.MARGIN_MS;
  private static final long RETRY_MS = 500;
  private static final long POLL_MS = 100;

  /** Receives the end of a successful revocation, once. */
  interface Completion {
    /**
     * Called when no member uses the old primary any more.
     *
     * @param waitedMillis time since the shared lease was ended
     * @param asked how many members were asked
     * @param unanswered members whose confirmations expired without an answer
     */
    void revoked(long waitedMillis, int asked, Set<String> unanswered);
  }

  private final ControlContext context;
  private final String group;
  private final long intentRevision;
  private final Completion completion;
  private final Consumer<String> failed;
  private final Set<String> asked = new HashSet<>();
  private final Set<String> pending = new HashSet<>();
  private long endedLease;
  private long leaseEndedNanos;
  private boolean ended;

  /**
   * Prepares a revocation.
   *
   * @param intentRevision revision at which the intent was written
   * @param failed receives the reason if the revocation can't begin
   */
  PrimaryRevocation(
      ControlContext context,
      String group,
      long intentRevision,
      Completion completion,
      Consumer<String> failed) {
    this.context = context;
    this.group = group;
    this.intentRevision = intentRevision;
    this.completion = completion;
    this.failed = failed;
  }

  void start() {
    endedLease = context.table().sharedLease();
    context
        .store()
        .endLease(
            endedLease,
            reply -> {
              boolean over = reply.done() || reply.status() == CoordinationStore.Status.NOT_FOUND;
              if (!over) {
                failed.accept("the shared lease could not be ended: " + reply.status());
                return;
              }
              leaseEndedNanos = context.clocks().steadyNanos();
              readMembers();
            });
  }

  /** Ends the revocation without a result. */
  void cancel() {
    ended = true;
  }

  /** Reads the members from the store, since this host's table may lack a recent registration. */
  private void readMembers() {
    context
        .store()
        .range(
            ControlKeys.PREFIX,
            reply -> {
              if (!reply.done()) {
                failed.accept("the members could not be read: " + reply.status());
                return;
              }
              context.table().load(reply.items(), reply.revision());
              if (endedAnOlderLease()) {
                start();
                return;
              }
              context.table().members().forEach(member -> pending.add(member.name()));
              asked.addAll(pending);
              List.copyOf(pending).forEach(this::revoke);
              poll();
            });
  }

  /** Asks members that were suspended since the members were read, under names not known then. */
  private void askReplacedMembers() {
    for (Member member : List.copyOf(context.table().members())) {
      if (member.suspended() && asked.add(member.name())) {
        pending.add(member.name());
        revoke(member.name());
      }
    }
  }

  /**
   * Returns whether this host's table named an older lease than the one that members could renew
   * without reading the intent.
   */
  private boolean endedAnOlderLease() {
    return context.table().sharedLease() != endedLease
        && context.table().revision(ControlKeys.SHARED_LEASE) < intentRevision;
  }

  /**
   * Asks a member to stop using the old primary, at the address of its latest registration. One
   * that has registered again since the intent is asked as well: its registration may have been
   * executed late, and writes that it sent earlier may be under way. A member is removed from the
   * table only after its confirmation has expired or when it leaves.
   */
  private void revoke(String name) {
    if (ended || !pending.contains(name)) {
      return;
    }
    @Nullable Member member = context.table().member(name);
    if (member == null) {
      acknowledged(name);
      return;
    }
    context
        .messages()
        .revoke(
            member,
            group,
            intentRevision,
            acknowledged -> {
              if (acknowledged) {
                acknowledged(name);
              } else {
                context.timers().after(RETRY_MS, () -> revoke(name));
              }
            });
  }

  private void acknowledged(String member) {
    pending.remove(member);
    check();
  }

  private void poll() {
    check();
    if (!ended) {
      context.timers().after(POLL_MS, this::poll);
    }
  }

  private long waitedMillis() {
    return (context.clocks().steadyNanos() - leaseEndedNanos) / 1_000_000;
  }

  /** Counts from the end of the shared lease, or from an earlier last possible renewal. */
  private boolean confirmationExpired(String member) {
    long withoutConfirmation =
        Math.max(waitedMillis(), context.table().millisSinceLastPossibleRenewal(member));
    return withoutConfirmation >= CONFIRMATION_EXPIRY_MS && !context.mayNotKnowThisHost(member);
  }

  private void check() {
    if (ended) {
      return;
    }
    askReplacedMembers();
    Set<String> unanswered = new HashSet<>(pending);
    pending.removeIf(this::confirmationExpired);
    if (pending.isEmpty()) {
      ended = true;
      completion.revoked(waitedMillis(), asked.size(), unanswered);
    }
  }
}
