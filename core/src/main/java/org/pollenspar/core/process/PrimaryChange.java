package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.Position;

/**
 * Replaces the primary of one group.
 *
 * <ol>
 *   <li>Write the intent to replace the primary into the table.
 *   <li>Wait until no member uses the old primary any more; see {@link PrimaryRevocation}.
 *   <li>If the old primary was only unreachable and answers again, publish it again.
 *   <li>Otherwise step it down if it answers, and let the replicas receive the rest of its log.
 *   <li>Write the most advanced database into the table as the candidate and promote it. With
 *       synchronous replication, first wait until the old primary or all databases of the {@link
 *       ReplicaSet} have reported their positions. If only the old primary has all of its log,
 *       promote it again.
 *   <li>Once it is the primary, publish it in the table.
 * </ol>
 *
 * <p>Invariants: no database is promoted while a host may use the old primary. Promoting first and
 * revoking later would be faster by some hundred milliseconds, but during that time two primaries
 * could acknowledge writes. And with synchronous replication, the promoted database has all
 * acknowledged writes.
 *
 * <p>A call to promote a database can't be taken back, and it may take effect after this host has
 * lost the failover lease or has made another call. Invariant: only the candidate of the stored
 * record has such {@linkplain PromotionCalls unresolved calls}. So the candidate is written before
 * the first call, under the fence, and the record of a leader keeps it while a call for the leader
 * is unresolved. The record also names the last holder that may have called. No other database is
 * promoted or published until the calls can't take effect any more; a call for the same database
 * changes nothing, as it names the primary.
 */
final class PrimaryChange {
  private static final long CATCH_UP_MS = 1_500;
  private static final long POLL_MS = 100;

  /** After this time a change that has promoted no database ends, and another one begins. */
  private static final long LIMIT_MS = 20_000;

  private final ControlContext context;
  private final PrimaryRecord old;
  private final long fence;
  private final boolean keepIfRecovered;
  private final Consumer<Boolean> done;
  private final Map<String, DatabaseControl.DatabaseStatus> statuses = new HashMap<>();
  private final long startedNanos;
  private final PromotionCalls calls;
  private final ReplicaReports reports;
  private final Set<String> eligible = new HashSet<>();

  /** Database that a call of this or of an interrupted change may promote; empty if none. */
  private String candidate;

  /** Term that the candidate led before it was called. */
  private long candidateTerm;

  /** Fence of the last holder that may have called for the candidate. */
  private long callerFence;

  /** Database for which a call of this change was accepted and can't take effect any more. */
  private String calledFor = "";

  private @Nullable String promoted;
  private long intentRevision;
  private @Nullable PrimaryRevocation revocation;
  private @Nullable DatabasePromotion promotion;
  private String reportedWait = "";
  private boolean ended;

  /**
   * Prepares a change.
   *
   * @param keepIfRecovered whether the old primary stays if it answers again once all members have
   *     stopped using it; replacing it would needlessly lose what its replicas have not received
   * @param calls promotion calls for the group since this host took the failover lease
   */
  PrimaryChange(
      ControlContext context,
      PrimaryRecord old,
      long fence,
      boolean keepIfRecovered,
      PromotionCalls calls,
      Consumer<Boolean> done) {
    this.context = context;
    this.old = old;
    this.candidate = old.candidate();
    this.candidateTerm = old.candidateTerm();
    this.callerFence = old.callerFence();
    this.fence = fence;
    // An interrupted change may have promoted another database already.
    this.keepIfRecovered = keepIfRecovered && !old.changing();
    this.done = done;
    this.calls = calls;
    this.reports = new ReplicaReports(context, old.group());
    this.startedNanos = context.clocks().steadyNanos();
  }

  String group() {
    return old.group();
  }

  private void log(String event, String detail) {
    context.listener().changed(event, group(), detail);
  }

  void start(String reason) {
    log("change_started", "primary " + old.database() + ": " + reason);
    write(
        old.changeBegun(fence),
        old.revision(),
        revision -> {
          calls.changeBegins(old.candidate(), context.table().laterFenceSeenNanos(callerFence));
          if (ended) {
            return;
          }
          intentRevision = revision;
          revocation =
              new PrimaryRevocation(
                  context,
                  group(),
                  intentRevision,
                  this::revokedByAllMembers,
                  failure -> end(false, failure));
          revocation.start();
        });
  }

  /** Writes a record of this group; ends the change if that fails. */
  private void write(PrimaryRecord record, long expected, Consumer<Long> next) {
    new PrimaryRecordWrite(
            context.store(),
            record,
            expected,
            next,
            failure -> end(false, "the table could not be written: " + failure))
        .start();
  }

  private void revokedByAllMembers(long waitedMillis, int asked, Set<String> unanswered) {
    log(
        "group_released",
        "after " + waitedMillis + " ms, " + asked + " members asked, no answer from " + unanswered);
    askOldPrimary();
  }

  /** Publishes the old primary again if it leads; waits for a time until it is registered. */
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
                collectStatuses(null, context.clocks().steadyNanos());
              } else if (!status.primary() || status.term() != old.term()) {
                stepDown();
              } else if (registeredAndNotDraining()) {
                publish(old.database(), old.term());
              } else if (millisSince(sinceNanos) < CATCH_UP_MS) {
                context.timers().after(POLL_MS, () -> keepOrReplace(sinceNanos));
              } else {
                stepDown();
              }
            });
  }

  private boolean registeredAndNotDraining() {
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
              @Nullable Position target = reports.reported(status);
              collectStatuses(target, context.clocks().steadyNanos());
            });
  }

  /**
   * Asks the old primary again, which may be back with its log. It is kept only if this change has
   * not called for another database, since that call may still take effect.
   */
  private void askOldPrimary() {
    if (keepIfRecovered && promoted == null) {
      keepOrReplace(context.clocks().steadyNanos());
    } else {
      stepDown();
    }
  }

  /** Polls the databases until one has received everything that the old primary has. */
  private void collectStatuses(@Nullable Position target, long sinceNanos) {
    if (ended) {
      return;
    }
    List<DatabaseControl.Candidate> asked = new ArrayList<>();
    eligible.clear();
    for (DatabaseControl.Candidate candidate : context.databases().candidates(group())) {
      boolean unresponsive =
          candidate.id().equals(old.database())
              && target == null
              && !old.database().equals(promoted);
      if (!unresponsive && (synchronous() || !candidate.draining())) {
        eligible.add(candidate.id());
      }
      boolean mayLead =
          candidate.id().equals(calls.unresolved())
              || (candidate.claimsPrimary() && !candidate.id().equals(old.database()));
      if (eligible.contains(candidate.id()) || mayLead) {
        asked.add(candidate);
      }
    }
    statuses.clear();
    int[] remaining = {asked.size()};
    if (remaining[0] == 0) {
      context.timers().after(POLL_MS, this::askOldPrimaryOrGiveUp);
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
                  reports.answered(candidate, status);
                }
                remaining[0]--;
                if (remaining[0] == 0) {
                  DatabaseControl.@Nullable DatabaseStatus last = statuses.get(old.database());
                  choose(last == null ? target : last.received(), sinceNanos);
                }
              });
    }
  }

  private void askOldPrimaryOrGiveUp() {
    if (!gaveUp()) {
      askOldPrimary();
    }
  }

  private void collectOrGiveUp(@Nullable Position target, long sinceNanos) {
    if (!gaveUp()) {
      collectStatuses(target, sinceNanos);
    }
  }

  private boolean gaveUp() {
    if (millisSince(startedNanos) > LIMIT_MS) {
      end(false, "no database of the group answered that can be promoted");
    }
    return ended;
  }

  private boolean synchronous() {
    return context.databases().syncReplicas(group()) > 0;
  }

  /** Returns the databases that have not reported although they may hold acknowledged writes. */
  private List<String> awaitedReplicas(@Nullable Position target) {
    return synchronous() && target == null
        ? reports.awaited(old.database(), statuses.keySet())
        : List.of();
  }

  private void choose(@Nullable Position target, long sinceNanos) {
    if (publishNewPrimary(target, sinceNanos)) {
      return;
    }
    @Nullable String best = mostAdvancedReplacement();
    boolean behind = target != null && (best == null || isBehind(best, target));
    if (behind && millisSince(sinceNanos) < CATCH_UP_MS) {
      context.timers().after(POLL_MS / 2, () -> collectStatuses(target, sinceNanos));
      return;
    }
    if (behind && (best == null || synchronous())) {
      // Only the old primary has all acknowledged writes, and the others do not receive them.
      best = canBeChosen(old.database()) ? old.database() : null;
    }
    if (best == null) {
      context.timers().after(POLL_MS, this::askOldPrimaryOrGiveUp);
      return;
    }
    List<String> awaited = awaitedReplicas(target);
    if (!awaited.isEmpty()) {
      reportWait("no answer from " + awaited + ", which may hold acknowledged writes");
      context.timers().after(POLL_MS, this::askOldPrimary);
      return;
    }
    callFor(best, target, sinceNanos);
  }

  private void reportWait(String reason) {
    if (!reason.equals(reportedWait)) {
      reportedWait = reason;
      log("promotion_waits", reason);
    }
  }

  private boolean canBeChosen(String database) {
    return statuses.containsKey(database) && eligible.contains(database);
  }

  private @Nullable String mostAdvancedReplacement() {
    @Nullable String best = null;
    for (String database : statuses.keySet()) {
      boolean other = !database.equals(old.database()) && canBeChosen(database);
      if (other && (best == null || isPreferred(database, best))) {
        best = database;
      }
    }
    return best;
  }

  /** The candidate is preferred to others that have received as much. */
  private boolean isPreferred(String database, String other) {
    return database.equals(candidate) ? !isAhead(other, database) : isAhead(database, other);
  }

  /**
   * Returns whether a database leads in place of the old primary: in a newer term, or in the same
   * term as a successor that took over the log and the address of the old primary.
   */
  private boolean hasReplacedOldPrimary(String database, DatabaseControl.DatabaseStatus status) {
    boolean newer = status.term() > old.term();
    boolean inherited = status.term() == old.term() && !database.equals(old.database());
    return status.primary() && (newer || inherited);
  }

  /** Publishes the database that leads the newest term, if one has replaced the old primary. */
  private boolean publishNewPrimary(@Nullable Position target, long sinceNanos) {
    @Nullable String leader = null;
    long term = -1;
    for (Map.Entry<String, DatabaseControl.DatabaseStatus> each : statuses.entrySet()) {
      if (hasReplacedOldPrimary(each.getKey(), each.getValue()) && each.getValue().term() > term) {
        leader = each.getKey();
        term = each.getValue().term();
      }
    }
    if (leader == null) {
      return false;
    }
    calls.leads(leader, term);
    boolean calledBefore = term > candidateTerm || leader.equals(calledFor);
    if (candidate.isEmpty() || (candidate.equals(leader) && calledBefore)) {
      publish(leader, term);
    } else {
      // Another database may be unreachable and lead a newer term. Promoting the leader makes its
      // term the newest, and has no effect if it already is.
      callFor(leader, target, sinceNanos);
    }
    return true;
  }

  private boolean isBehind(String database, Position target) {
    DatabaseControl.@Nullable DatabaseStatus status = statuses.get(database);
    return status == null || status.received().compareTo(target) < 0;
  }

  private boolean isAhead(String one, String other) {
    DatabaseControl.@Nullable DatabaseStatus first = statuses.get(one);
    DatabaseControl.@Nullable DatabaseStatus second = statuses.get(other);
    return first != null && second != null && first.received().compareTo(second.received()) > 0;
  }

  /**
   * Promotes a database, after it was written into the table as the candidate. While an earlier
   * call may still promote another one, asks the databases again instead.
   */
  private void callFor(String database, @Nullable Position target, long sinceNanos) {
    if (calls.mayPromoteOtherThan(database)) {
      reportWait("a call to promote " + calls.unresolved() + " may still take effect");
      context.timers().after(POLL_MS, () -> collectOrGiveUp(target, sinceNanos));
      return;
    }
    log(
        "promoting",
        database + ", old primary at " + target + ", answers " + new TreeMap<>(statuses));
    DatabaseControl.@Nullable DatabaseStatus status = statuses.get(database);
    long ledTerm = status != null && status.primary() ? status.term() : PrimaryRecord.NO_TERM;
    write(
        old.changingTo(database, ledTerm, fence),
        intentRevision,
        revision -> {
          intentRevision = revision;
          candidate = database;
          candidateTerm = ledTerm;
          callerFence = fence;
          promote(database);
        });
  }

  private void promote(String database) {
    if (ended) {
      return;
    }
    promoted = database;
    long ledTerm = candidateTerm;
    promotion =
        new DatabasePromotion(
            context,
            calls,
            group(),
            database,
            fence,
            startedNanos + LIMIT_MS * 1_000_000,
            Math.max(old.term(), ledTerm),
            each -> hasReplacedOldPrimary(database, each) && each.term() > ledTerm,
            this::promotionEnded,
            failure -> end(false, failure));
    promotion.start();
  }

  /** Returns whether this change has called for a database. */
  boolean promoting() {
    return promotion != null;
  }

  private void promotionEnded(DatabasePromotion.Result result) {
    calledFor = result == DatabasePromotion.Result.NOT_RUNNING ? "" : candidate;
    long now = context.clocks().steadyNanos();
    switch (result) {
      // An earlier call may have promoted another database as well, so all are asked.
      case LEADS -> collectStatuses(null, now);
      case NOT_SEEN -> collectOrGiveUp(null, now);
      default -> collectOrGiveUp(null, startedNanos);
    }
  }

  private void publish(String database, long term) {
    PrimaryRecord leader = PrimaryRecord.leading(group(), database, term, fence, 0);
    if (calls.unresolved().equals(database)) {
      leader = leader.withCandidate(database, callerFence);
    }
    writeLeader(leader);
  }

  private void writeLeader(PrimaryRecord leader) {
    write(
        leader,
        intentRevision,
        revision -> {
          context
              .table()
              .apply(
                  new CoordinationStore.Item(
                      ControlKeys.primary(group()), ControlKeys.encode(leader), revision, false));
          end(true, leader.database() + " leads term " + leader.term());
        });
  }

  /** Ends the change and reports it once; later calls have no effect. */
  void end(boolean success, String detail) {
    if (ended) {
      return;
    }
    ended = true;
    if (revocation != null) {
      revocation.cancel();
    }
    if (promotion != null) {
      promotion.cancel();
    }
    log(
        success ? "primary_changed" : "change_failed",
        detail + ", " + millisSince(startedNanos) + " ms");
    done.accept(success);
  }
}
