package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.Position;

/**
 * Replaces the primary of one group, step by step.
 *
 * <ol>
 *   <li>Write the intention into the table, then end the shared lease, so that no host can prove
 *       any more that nothing has begun.
 *   <li>Ask each member to let go; wait out the proofs of those that don't answer. Of a member that
 *       was given up before, the wait counts from the moment this host saw that happen.
 *   <li>If the old primary was only out of reach and is back, publish it again.
 *   <li>Step it down if it answers, and let the replicas receive what it still has.
 *   <li>Promote the most advanced database.
 *   <li>Once it leads, write it into the table.
 * </ol>
 *
 * <p>Invariant: no database is promoted while a host may use the old primary. Promoting first and
 * revoking later would be faster by some hundred milliseconds but lets two primaries acknowledge.
 */
final class PrimaryChange {
  private static final long PROOFS_END_MS = Confirmation.VALID_MS + Confirmation.MARGIN_MS;
  private static final long REVOKE_RETRY_MS = 500;
  private static final long CATCH_UP_MS = 1_500;
  private static final long POLL_MS = 100;
  private static final long LEAD_TIMEOUT_MS = 5_000;

  /** How long a promotion call of an interrupted change may still take effect. */
  private static final long LATE_CALL_MS = 3_000;

  private final ControlContext context;
  private final PrimaryRecord old;
  private final long fence;
  private final boolean keepIfBack;
  private final Consumer<Boolean> done;
  private final Set<String> pending = new HashSet<>();
  private final Map<String, DatabaseControl.DatabaseStatus> statuses = new HashMap<>();
  private final long startedNanos;
  private long lateCallsUntilNanos;
  private @Nullable String promoted;
  private long promotedNanos;
  private long intentRevision;
  private long revokedNanos;
  private boolean allReleased;
  private boolean ended;

  /**
   * Prepares a change.
   *
   * @param keepIfBack whether the old primary stays if it is back when all members have let go:
   *     what its replicas have not received yet would be lost for nothing
   */
  PrimaryChange(
      ControlContext context,
      PrimaryRecord old,
      long fence,
      boolean keepIfBack,
      Consumer<Boolean> done) {
    this.context = context;
    this.old = old;
    this.fence = fence;
    // After an interrupted change another database may have been promoted meanwhile.
    this.keepIfBack = keepIfBack && !old.changing();
    this.done = done;
    this.startedNanos = context.clocks().steadyNanos();
    this.lateCallsUntilNanos = startedNanos;
    if (old.changing()) {
      awaitLateCalls();
    }
  }

  /** Nothing is chosen or published while an earlier promotion call may still take effect. */
  private void awaitLateCalls() {
    lateCallsUntilNanos = context.clocks().steadyNanos() + LATE_CALL_MS * 1_000_000;
  }

  String group() {
    return old.group();
  }

  void start(String reason) {
    context
        .listener()
        .changed("change_started", group(), "primary " + old.database() + ": " + reason);
    PrimaryRecord intent = new PrimaryRecord(group(), old.database(), old.term(), true, fence, 0);
    write(
        intent,
        old.revision(),
        reply -> {
          intentRevision = reply.revision();
          endSharedLease();
        });
  }

  /** Writes a record if neither it nor the duty changed; ends the attempt otherwise. */
  private void write(PrimaryRecord record, long expected, Consumer<CoordinationStore.Reply> next) {
    String key = ControlKeys.primary(group());
    context
        .store()
        .transact(
            List.of(
                new CoordinationStore.Expectation(key, expected),
                new CoordinationStore.Expectation(ControlKeys.FAILOVER_LEASE, fence)),
            List.of(new CoordinationStore.Put(key, ControlKeys.encode(record), 0)),
            List.of(),
            reply -> {
              if (reply.done()) {
                next.accept(reply);
              } else {
                end(false, "the table could not be written: " + reply.status());
              }
            });
  }

  private void endSharedLease() {
    long lease = context.table().sharedLease();
    context
        .store()
        .endLease(
            lease,
            reply -> {
              boolean over = reply.done() || reply.status() == CoordinationStore.Status.NOT_FOUND;
              if (!over) {
                end(false, "the shared lease could not be ended: " + reply.status());
                return;
              }
              revokedNanos = context.clocks().steadyNanos();
              readMembers();
            });
  }

  /** Reads the members from the store: one that registered just now may not be known here yet. */
  private void readMembers() {
    context
        .store()
        .range(
            ControlKeys.PREFIX,
            reply -> {
              if (!reply.done()) {
                end(false, "the members could not be read: " + reply.status());
                return;
              }
              context.table().load(reply.items(), reply.revision());
              List<Member> members = List.copyOf(context.table().members());
              members.forEach(member -> pending.add(member.name()));
              members.forEach(this::revoke);
              pollReleased();
            });
  }

  private void revoke(Member member) {
    if (ended || allReleased || !pending.contains(member.name())) {
      return;
    }
    if (hasLetGo(member)) {
      released(member);
      return;
    }
    context
        .messages()
        .revoke(
            member,
            group(),
            intentRevision,
            released -> {
              if (released) {
                released(member);
              } else {
                context.timers().after(REVOKE_RETRY_MS, () -> revoke(member));
              }
            });
  }

  /**
   * Returns whether the table shows that a member's proofs are void. It registers again, after a
   * start or a suspension, only with the intention before its eyes; it is removed only after its
   * proofs have run out or when it leaves. Its suspension alone says nothing about its proofs.
   */
  private boolean hasLetGo(Member member) {
    @Nullable Member now = context.table().member(member.name());
    boolean registeredLater =
        context.table().revision(ControlKeys.member(member.name())) > intentRevision;
    return now == null || (registeredLater && !now.suspended());
  }

  private void released(Member member) {
    pending.remove(member.name());
    checkReleased();
  }

  private void pollReleased() {
    checkReleased();
    if (!ended && !allReleased) {
      context.timers().after(POLL_MS, this::pollReleased);
    }
  }

  /** Returns whether a member's proofs have run out: since the change began, or since earlier. */
  private boolean proofsEnded(String member) {
    long withoutProof =
        Math.max(millisSince(revokedNanos), context.table().millisSinceLastPossibleRenewal(member));
    return withoutProof >= PROOFS_END_MS && !context.mayNotKnowThisHost(member);
  }

  private void checkReleased() {
    if (ended || allReleased) {
      return;
    }
    long waited = millisSince(revokedNanos);
    Set<String> silent = new HashSet<>(pending);
    pending.removeIf(this::proofsEnded);
    if (pending.isEmpty()) {
      allReleased = true;
      context
          .listener()
          .changed("group_released", group(), "after " + waited + " ms, silent " + silent);
      if (keepIfBack) {
        keepOrReplace(context.clocks().steadyNanos());
      } else {
        stepDown();
      }
    }
  }

  /** Publishes the old primary again if it leads and is registered; its entry may take a while. */
  private void keepOrReplace(long sinceNanos) {
    context
        .databases()
        .status(
            group(),
            old.database(),
            status -> {
              if (ended) {
                return;
              }
              if (status == null) {
                collect(null, context.clocks().steadyNanos());
              } else if (!status.primary() || status.term() != old.term()) {
                stepDown();
              } else if (registeredToStay()) {
                publish(old.database(), old.term());
              } else if (millisSince(sinceNanos) < CATCH_UP_MS) {
                context.timers().after(POLL_MS, () -> keepOrReplace(sinceNanos));
              } else {
                stepDown();
              }
            });
  }

  private boolean registeredToStay() {
    return context.databases().candidates(group()).stream()
        .anyMatch(each -> each.id().equals(old.database()) && !each.draining());
  }

  private long millisSince(long nanos) {
    return (context.clocks().steadyNanos() - nanos) / 1_000_000;
  }

  private void stepDown() {
    context
        .databases()
        .stepDown(
            group(),
            old.database(),
            old.term() + 1,
            status -> {
              @Nullable Position goal = status == null ? null : status.received();
              collect(goal, context.clocks().steadyNanos());
            });
  }

  /** Asks all databases for their positions until one has what the old primary has. */
  private void collect(@Nullable Position goal, long sinceNanos) {
    if (ended) {
      return;
    }
    List<DatabaseControl.Candidate> asked = new ArrayList<>();
    for (DatabaseControl.Candidate candidate : context.databases().candidates(group())) {
      boolean silent = candidate.id().equals(old.database()) && goal == null;
      if (!silent && (synchronous() || !candidate.draining())) {
        asked.add(candidate);
      }
    }
    statuses.clear();
    int[] open = {asked.size()};
    if (open[0] == 0) {
      context.timers().after(POLL_MS, () -> retryCollect(goal, sinceNanos));
    }
    for (DatabaseControl.Candidate candidate : asked) {
      context
          .databases()
          .status(
              group(),
              candidate.id(),
              status -> {
                if (status != null) {
                  statuses.put(candidate.id(), status);
                }
                open[0]--;
                if (open[0] == 0) {
                  choose(goal, sinceNanos, asked.size());
                }
              });
    }
  }

  private void retryCollect(@Nullable Position goal, long sinceNanos) {
    if (millisSince(startedNanos) > 4 * LEAD_TIMEOUT_MS) {
      end(false, "no database of the group can be promoted");
    } else {
      collect(goal, sinceNanos);
    }
  }

  /**
   * With synchronous replication an acknowledged write may be on a single replica, also on one that
   * leaves. So while the old primary doesn't say how far it was, every replica has to be heard.
   */
  private boolean synchronous() {
    return context.databases().syncReplicas(group()) > 0;
  }

  private void choose(@Nullable Position goal, long sinceNanos, int asked) {
    if (context.clocks().steadyNanos() - lateCallsUntilNanos < 0) {
      context.timers().after(POLL_MS, () -> collect(goal, sinceNanos));
      return;
    }
    @Nullable String best = null;
    if (publishLeader()) {
      return;
    }
    for (String database : statuses.keySet()) {
      boolean replaced = database.equals(old.database());
      if (!replaced && (best == null || ahead(database, best))) {
        best = database;
      }
    }
    DatabaseControl.@Nullable DatabaseStatus chosen = best == null ? null : statuses.get(best);
    if (best == null || chosen == null) {
      context.timers().after(POLL_MS, () -> retryCollect(goal, sinceNanos));
      return;
    }
    if (synchronous() && goal == null && statuses.size() < asked) {
      context.timers().after(POLL_MS, () -> collect(null, sinceNanos));
      return;
    }
    boolean behind = goal != null && chosen.received().compareTo(goal) < 0;
    if (behind && (synchronous() || millisSince(sinceNanos) < CATCH_UP_MS)) {
      context.timers().after(POLL_MS / 2, () -> collect(goal, sinceNanos));
      return;
    }
    context
        .listener()
        .changed("promoting", group(), best + " at " + chosen.received() + ", old at " + goal);
    promote(best);
  }

  /**
   * Returns whether a database leads in place of the old primary: in a newer term, or in the same
   * one as the successor that took over the old primary's log at its address.
   */
  private boolean succeeds(String database, DatabaseControl.DatabaseStatus status) {
    boolean newer = status.term() > old.term();
    boolean inherited = status.term() == old.term() && !database.equals(old.database());
    return status.primary() && (newer || inherited);
  }

  /** Publishes the database that leads the newest term, if one succeeds the old primary. */
  private boolean publishLeader() {
    @Nullable String leader = null;
    long term = -1;
    for (Map.Entry<String, DatabaseControl.DatabaseStatus> each : statuses.entrySet()) {
      if (succeeds(each.getKey(), each.getValue()) && each.getValue().term() > term) {
        leader = each.getKey();
        term = each.getValue().term();
      }
    }
    if (leader == null) {
      return false;
    }
    boolean otherCalled = promoted != null && !promoted.equals(leader);
    if (!otherCalled) {
      publish(leader, term);
    } else if (millisSince(promotedNanos) < LATE_CALL_MS) {
      context.timers().after(POLL_MS, () -> collect(null, promotedNanos));
    } else {
      // The database that was called may lead a newer term out of this host's reach. A call for
      // the leader changes nothing if it is the newest, and makes it so otherwise.
      promote(leader);
    }
    return true;
  }

  private boolean ahead(String one, String other) {
    DatabaseControl.@Nullable DatabaseStatus first = statuses.get(one);
    DatabaseControl.@Nullable DatabaseStatus second = statuses.get(other);
    return first != null && second != null && first.received().compareTo(second.received()) > 0;
  }

  private void promote(String database) {
    if (ended) {
      return;
    }
    if (!context.failoverLeaseHeld().getAsBoolean()) {
      end(false, "the duty may have passed to another host");
      return;
    }
    promoted = database;
    promotedNanos = context.clocks().steadyNanos();
    context
        .promotions()
        .promote(
            group(),
            database,
            context.holder(),
            fence,
            outcome -> {
              switch (outcome) {
                case ACCEPTED -> awaitLead(database, context.clocks().steadyNanos());
                case NOT_RUNNING -> {
                  awaitLateCalls();
                  context.timers().after(POLL_MS, () -> retryCollect(null, startedNanos));
                }
                default -> {
                  if (millisSince(startedNanos) > 4 * LEAD_TIMEOUT_MS) {
                    end(false, "the platform did not accept the promotion");
                  } else {
                    context.timers().after(POLL_MS, () -> promote(database));
                  }
                }
              }
            });
  }

  private void awaitLead(String database, long sinceNanos) {
    if (ended) {
      return;
    }
    context
        .databases()
        .status(
            group(),
            database,
            status -> {
              if (status != null && succeeds(database, status)) {
                // An earlier call for another database may have taken effect as well.
                collect(null, context.clocks().steadyNanos());
              } else if (millisSince(sinceNanos) > LEAD_TIMEOUT_MS) {
                retryCollect(null, context.clocks().steadyNanos());
              } else {
                context.timers().after(POLL_MS, () -> awaitLead(database, sinceNanos));
              }
            });
  }

  private void publish(String database, long term) {
    PrimaryRecord leader = new PrimaryRecord(group(), database, term, false, fence, 0);
    write(
        leader,
        intentRevision,
        reply -> {
          context
              .table()
              .apply(
                  new CoordinationStore.Item(
                      ControlKeys.primary(group()),
                      ControlKeys.encode(leader),
                      reply.revision(),
                      false));
          end(true, database + " leads term " + term);
        });
  }

  /** Stops the change, for example because the duty was lost. */
  void end(boolean success, String detail) {
    if (ended) {
      return;
    }
    ended = true;
    context
        .listener()
        .changed(
            success ? "primary_changed" : "change_failed",
            group(),
            detail + ", " + millisSince(startedNanos) + " ms");
    done.accept(success);
  }
}
