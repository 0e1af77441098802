package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.CoordinationStore.Expectation;
import org.pollenspar.core.process.CoordinationStore.Put;

/**
 * Watches the primaries of all groups and replaces failed ones, while this host holds the {@link
 * FailoverLease}.
 *
 * <p>A primary is replaced if it drains, if it stays unregistered, if it reports that it is a
 * replica, if another database leads a newer term, or if it fails repeated probes and no majority
 * of the other members reaches it. The question to the members keeps a holder whose own network
 * fails from replacing a healthy primary.
 *
 * <p>Invariant: no promotion call is under way when the lease is released or expires. Otherwise the
 * call could reach the platform after one of the next holder, which has a later fence. So no call
 * is sent that may take longer than the lease lasts. And a host that stops keeps the lease while a
 * call is under way, and finishes the change that made it, which the next holder would have to
 * begin again.
 *
 * <p>Not thread-safe: all calls come from the thread that runs the {@link Timers}.
 */
public final class FailoverCoordinator {
  private static final long TICK_MS = 250;

  /** A primary is probed if its last answer to this host is older. */
  private static final long PROBE_AFTER_MS = 300;

  /** Span of failed probes after which the other members are asked. */
  private static final long TIMEOUT_SPAN_MS = 700;

  /** A probe that fails within this time was refused: no process listens at the address. */
  private static final long MAX_REFUSAL_MS = 150;

  /** Span for refused probes; shorter, because a slow network does not cause refusals. */
  private static final long REFUSED_SPAN_MS = 200;

  /** How long a primary may be unregistered before it is replaced. */
  private static final long UNREGISTERED_LIMIT_MS = 2_500;

  /** Pause before a database that claims to be the primary is asked again. */
  private static final long CLAIM_PAUSE_MS = 1_000;

  /** How long a host that stops finishes changes whose database it has called for. */
  private static final long FINISH_LIMIT_MS = 2_000;

  private static final long FINISH_POLL_MS = 50;

  /** Pause before the next change of a group after one that failed. */
  private static final long FAILED_CHANGE_PAUSE_MS = 500;

  private final ControlContext context;
  private final PrimaryAuthority authority;
  private final ConfirmationRenewer renewer;
  private final FailoverLease lease;
  private final CountedPromotions promotions;
  private final FailedMemberRemover memberRemover;
  private final ReplicaSetRecorder replicaSets;
  private final Map<String, GroupState> groups = new HashMap<>();
  private boolean stopped;
  private long stoppedNanos;

  /**
   * Creates a coordinator that does not hold the failover lease.
   *
   * @param takeoverDelayMillis how long this host leaves a free lease to other hosts; differs
   *     between hosts so that they do not compete for it
   */
  public FailoverCoordinator(
      CoordinationStore store,
      FleetTable table,
      DatabaseControl databases,
      FleetMessages messages,
      PromotionService promotions,
      Timers timers,
      Clocks clocks,
      ControlListener listener,
      String self,
      PrimaryAuthority authority,
      ConfirmationRenewer renewer,
      long takeoverDelayMillis) {
    this.promotions = new CountedPromotions(promotions);
    this.context =
        new ControlContext(
            store,
            table,
            databases,
            messages,
            this.promotions,
            timers,
            clocks,
            listener,
            self,
            this::mayCall);
    this.authority = authority;
    this.renewer = renewer;
    this.lease =
        new FailoverLease(
            store,
            table,
            timers,
            clocks,
            listener,
            self,
            renewer,
            takeoverDelayMillis,
            new LeaseOwner());
    this.memberRemover = new FailedMemberRemover(context);
    this.replicaSets = new ReplicaSetRecorder(context);
  }

  /** Begins and ends the work of the holder. */
  private final class LeaseOwner implements FailoverLease.Owner {
    @Override
    public void taken() {
      tick();
    }

    @Override
    public void lost() {
      for (GroupState state : groups.values()) {
        if (state.change != null) {
          state.change.end(false, "the failover lease was lost");
        }
      }
      groups.clear();
      replicaSets.leaseLost();
    }
  }

  /** Returns false as soon as either clock shows that the failover lease may have expired. */
  public boolean holdsLease() {
    return lease.holds();
  }

  /** A host that stops begins no change, since it would have to wait for its calls. */
  private boolean mayBeginChange() {
    return !stopped && holdsLease();
  }

  /** Returns whether a call that is sent now ends before another host can take the lease. */
  private boolean mayCall() {
    return !stopped && lease.holdsFor(PromotionService.CALL_LIMIT_MS);
  }

  /** Returns whether this host has a change of any primary in progress. */
  public boolean changeInProgress() {
    return groups.values().stream().anyMatch(state -> state.change != null);
  }

  /**
   * Starts to acquire the failover lease if no host holds it. Called when the table was loaded or
   * the key of the lease changed.
   */
  public void acquireLeaseIfFree() {
    lease.acquireIfFree();
  }

  /**
   * Releases the failover lease because the process stops: at once, or when the changes that have
   * called for a database are finished.
   */
  public void stop() {
    if (stopped) {
      return;
    }
    stopped = true;
    stoppedNanos = now();
    lease.stop();
    for (GroupState state : groups.values()) {
      if (state.change != null && !state.change.promoting()) {
        state.change.end(false, "the process is stopping");
      }
    }
    releaseWhenFinished();
  }

  private void releaseWhenFinished() {
    boolean inTime = now() - stoppedNanos < FINISH_LIMIT_MS * 1_000_000;
    if (lease.taken() && (promotions.underWay() > 0 || (inTime && changeInProgress()))) {
      context.timers().after(FINISH_POLL_MS, this::releaseWhenFinished);
    } else {
      lease.release();
    }
  }

  /** Returns whether this host has released the failover lease, or didn't hold it. */
  public boolean released() {
    return !lease.taken();
  }

  private void tick() {
    if (!lease.taken() || stopped) {
      return;
    }
    context.timers().after(TICK_MS, this::tick);
    if (!holdsLease()) {
      return;
    }
    memberRemover.tick();
    for (String group : new ArrayList<>(context.databases().groups())) {
      checkUnlessChanging(group);
    }
  }

  /** Checks a group at once because the registrations of its databases have changed. */
  public void databasesChanged(String group) {
    if (mayBeginChange()) {
      checkUnlessChanging(group);
    }
  }

  private void checkUnlessChanging(String group) {
    GroupState state = groups.computeIfAbsent(group, key -> new GroupState(newCalls()));
    if (state.change == null && !(state.paused && now() - state.pauseUntilNanos < 0)) {
      checkGroup(group, state);
    }
  }

  private PromotionCalls newCalls() {
    return new PromotionCalls(context.clocks(), lease.takenNanos());
  }

  private long now() {
    return context.clocks().steadyNanos();
  }

  private void checkGroup(String group, GroupState state) {
    @Nullable PrimaryRecord record = authority.record(group);
    if (record == null) {
      appointFirstPrimary(group, state);
      return;
    }
    if (record.changing()) {
      replace(record, state, "an earlier change did not finish", false);
      return;
    }
    replicaSets.check(record, lease.fence());
    DatabaseControl.@Nullable Candidate primary = null;
    for (DatabaseControl.Candidate candidate : context.databases().candidates(group)) {
      if (candidate.id().equals(record.database())) {
        primary = candidate;
      } else if (candidate.claimsPrimary()) {
        checkClaim(record, state, candidate.id());
      } else {
        state.claimsCheckedNanos.remove(candidate.id());
      }
    }
    if (primary == null) {
      unregistered(record, state);
      return;
    }
    state.unregistered = false;
    if (primary.draining()) {
      replace(record, state, "it is draining", false);
    } else if (!state.probing && stale(primary)) {
      probe(record, state);
    }
  }

  /**
   * Asks a database that claims to be the primary in place of the recorded one. If it leads a newer
   * term, a late call has promoted it, and the recorded primary accepts writes until it knows.
   */
  private void checkClaim(PrimaryRecord record, GroupState state, String claimant) {
    @Nullable Long checked = state.claimsCheckedNanos.get(claimant);
    if (checked != null && now() - checked < CLAIM_PAUSE_MS * 1_000_000) {
      return;
    }
    state.claimsCheckedNanos.put(claimant, now());
    if (checked == null) {
      context
          .listener()
          .changed("primary_claimed", record.group(), claimant + " registers, known is " + record);
    }
    context
        .databases()
        .status(
            record.group(),
            claimant,
            status -> {
              boolean leads = status != null && status.primary() && status.term() > record.term();
              if (leads && record.equals(authority.record(record.group()))) {
                replace(record, state, claimant + " leads the newer term " + status.term(), false);
              }
            });
  }

  private static boolean stale(DatabaseControl.Candidate primary) {
    return primary.answerAgeMillis() < 0 || primary.answerAgeMillis() > PROBE_AFTER_MS;
  }

  private void unregistered(PrimaryRecord record, GroupState state) {
    if (!state.unregistered) {
      state.unregistered = true;
      state.unregisteredSinceNanos = now();
    } else if (now() - state.unregisteredSinceNanos > UNREGISTERED_LIMIT_MS * 1_000_000) {
      replace(record, state, "it is not registered", true);
    }
  }

  /**
   * Records the first primary of a group: a database that is registered as the primary and confirms
   * it when asked.
   */
  private void appointFirstPrimary(String group, GroupState state) {
    if (state.probing) {
      return;
    }
    for (DatabaseControl.Candidate candidate : context.databases().candidates(group)) {
      if (candidate.claimsPrimary()) {
        state.probing = true;
        context
            .databases()
            .status(
                group,
                candidate.id(),
                status -> {
                  state.probing = false;
                  if (status != null && status.primary()) {
                    writeFirstRecord(group, candidate.id(), status.term());
                  }
                });
        return;
      }
    }
  }

  private void writeFirstRecord(String group, String database, long term) {
    PrimaryRecord record = PrimaryRecord.leading(group, database, term, lease.fence(), 0);
    String key = ControlKeys.primary(group);
    context
        .store()
        .transact(
            List.of(
                new Expectation(key, 0),
                new Expectation(ControlKeys.FAILOVER_LEASE, lease.fence())),
            List.of(new Put(key, ControlKeys.encode(record), 0)),
            List.of(),
            reply -> {
              if (reply.done()) {
                context.listener().changed("primary_appointed", group, database);
              }
            });
  }

  private void probe(PrimaryRecord record, GroupState state) {
    state.probing = true;
    long sentNanos = now();
    context
        .databases()
        .status(
            record.group(),
            record.database(),
            status -> {
              state.probing = false;
              if (status == null) {
                probeFailed(record, state, sentNanos);
              } else if (!status.primary()) {
                replace(
                    record,
                    state,
                    "it reports that it is a replica in term " + status.term(),
                    false);
              } else if (status.term() > record.term()) {
                replace(
                    record,
                    state,
                    "it leads the newer term " + status.term() + ", which is to be published",
                    false);
              } else {
                state.failedProbes = 0;
              }
            });
  }

  private void probeFailed(PrimaryRecord record, GroupState state, long sentNanos) {
    if (state.failedProbes == 0) {
      state.failedProbesSinceNanos = sentNanos;
    }
    state.failedProbes++;
    boolean refused = now() - sentNanos < MAX_REFUSAL_MS * 1_000_000;
    long span = refused ? REFUSED_SPAN_MS : TIMEOUT_SPAN_MS;
    boolean spanElapsed = now() - state.failedProbesSinceNanos > span * 1_000_000;
    if (state.failedProbes >= 2 && spanElapsed && !state.askingMembers) {
      askMembers(record, state);
    }
  }

  /** Replaces a primary that fails probes unless a majority of the other members reaches it. */
  private void askMembers(PrimaryRecord record, GroupState state) {
    List<Member> members = new ArrayList<>();
    for (Member member : context.table().members()) {
      if (!member.name().equals(context.holder()) && !member.suspended()) {
        members.add(member);
      }
    }
    if (members.isEmpty()) {
      replace(record, state, "it does not answer and no other member can be asked", true);
      return;
    }
    state.askingMembers = true;
    MemberPoll.majority(
        members,
        (member, answer) ->
            context.messages().reaches(member, record.group(), record.database(), answer),
        reached -> {
          state.askingMembers = false;
          evaluateAnswers(record, state, reached, members.size());
        });
  }

  private void evaluateAnswers(PrimaryRecord record, GroupState state, int reached, int asked) {
    if (state.failedProbes == 0 || 2 * reached > asked) {
      context
          .listener()
          .changed(
              "suspicion_rejected",
              record.group(),
              reached + " of " + asked + " members reach the primary");
      state.failedProbes = 0;
    } else {
      replace(
          record,
          state,
          "it does not answer; " + reached + " of " + asked + " members reach it",
          true);
    }
  }

  private void replace(
      PrimaryRecord record, GroupState state, String reason, boolean keepIfRecovered) {
    boolean current = groups.get(record.group()) == state;
    if (!mayBeginChange() || !current || state.change != null) {
      return;
    }
    state.failedProbes = 0;
    state.unregistered = false;
    replicaSets.changeStarted(record.group());
    PrimaryChange change =
        new PrimaryChange(
            context,
            record,
            lease.fence(),
            keepIfRecovered,
            state.calls,
            success -> {
              state.change = null;
              if (!success) {
                state.paused = true;
                state.pauseUntilNanos = now() + FAILED_CHANGE_PAUSE_MS * 1_000_000;
                renewer.load();
              }
            });
    state.change = change;
    change.start(reason);
  }
}
