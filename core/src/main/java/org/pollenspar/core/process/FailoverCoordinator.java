package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.CoordinationStore.Expectation;
import org.pollenspar.core.process.CoordinationStore.Put;

/**
 * The duty, held by one host at a time, of watching primaries and replacing them.
 *
 * <p>The holder has a leased key in the store; the fence is the revision at which the key was
 * written, so it grows with each holder. Every write to the table requires that the key still has
 * that revision.
 */
public final class FailoverCoordinator {
  private static final long LEASE_MS = 3_000;
  private static final long RENEWAL_MS = 1_000;
  private static final long TICK_MS = 250;
  private static final long PROBE_AFTER_MS = 300;
  private static final long SILENT_MS = 700;

  /** A probe that fails sooner was refused: nothing listens at the address. */
  private static final long REFUSED_MS = 150;

  private static final long REFUSED_SPAN_MS = 200;
  private static final long MISSING_MS = 2_500;
  private static final long FAILED_CHANGE_PAUSE_MS = 500;

  private final ControlContext context;
  private final PrimaryAuthority authority;
  private final ConfirmationRenewer epoch;
  private final long takeoverDelayMillis;
  private final FailedMemberRemover sweep;
  private final Map<String, GroupState> groups = new HashMap<>();
  private boolean taking;
  private boolean stopped;
  private long lease;
  private long fence;
  private ClockReading renewed;

  /** What the holder knows of one group. */
  private static final class GroupState {
    @Nullable PrimaryChange change;
    boolean probing;
    long failedProbesSinceNanos;
    int failedProbes;
    boolean asking;
    long missingSinceNanos;
    boolean missing;
    long pauseUntilNanos;
    boolean paused;
  }

  /**
   * Creates a duty that isn't held.
   *
   * @param takeoverDelayMillis how long to leave a free duty to other hosts
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
      ConfirmationRenewer epoch,
      long takeoverDelayMillis) {
    this.context =
        new ControlContext(
            store,
            table,
            databases,
            messages,
            promotions,
            timers,
            clocks,
            listener,
            self,
            this::holdsLease);
    this.authority = authority;
    this.epoch = epoch;
    this.takeoverDelayMillis = takeoverDelayMillis;
    this.sweep = new FailedMemberRemover(context);
    this.renewed = ClockReading.now(clocks);
  }

  /** Returns whether this host holds the duty, by either clock. */
  public boolean holdsLease() {
    return lease != 0 && renewed.ageMillis(context.clocks()) < LEASE_MS;
  }

  /** Returns whether this host has a change of a primary under way. */
  public boolean changeInProgress() {
    return groups.values().stream().anyMatch(state -> state.change != null);
  }

  /** Takes the duty if it is free; called when the table was loaded or the key changed. */
  public void acquireLeaseIfFree() {
    if (!taking && !stopped && lease == 0 && free()) {
      taking = true;
      context.timers().after(takeoverDelayMillis, this::take);
    }
  }

  private boolean free() {
    return context.table().revision(ControlKeys.FAILOVER_LEASE) == 0;
  }

  private void take() {
    if (!free() || stopped || !epoch.loaded()) {
      taking = false;
      return;
    }
    renewed = ClockReading.now(context.clocks());
    context
        .store()
        .grantLease(
            LEASE_MS,
            granted -> {
              if (!granted.done()) {
                retryTake();
                return;
              }
              write(granted.lease());
            });
  }

  private void write(long granted) {
    context
        .store()
        .transact(
            List.of(new Expectation(ControlKeys.FAILOVER_LEASE, 0)),
            List.of(new Put(ControlKeys.FAILOVER_LEASE, context.holder(), granted)),
            List.of(),
            reply -> {
              if (!reply.done()) {
                context.store().endLease(granted, ignored -> {});
                retryTake();
                return;
              }
              taking = false;
              lease = granted;
              fence = reply.revision();
              context.listener().changed("duty_taken", context.holder(), "fence " + fence);
              scheduleRenewal();
              tick();
            });
  }

  private void retryTake() {
    taking = false;
    context.timers().after(LEASE_MS / 2, this::acquireLeaseIfFree);
  }

  private void scheduleRenewal() {
    context.timers().after(RENEWAL_MS, this::renew);
  }

  private void renew() {
    if (lease == 0) {
      return;
    }
    ClockReading sent = ClockReading.now(context.clocks());
    context
        .store()
        .renewLease(
            lease,
            reply -> {
              if (reply.done()) {
                renewed = sent;
              }
              if (reply.status() == CoordinationStore.Status.NOT_FOUND) {
                lose("the lease ended");
              } else if (lease != 0) {
                scheduleRenewal();
              }
            });
  }

  private void lose(String reason) {
    lease = 0;
    context.listener().changed("duty_lost", context.holder(), reason);
    for (GroupState state : groups.values()) {
      if (state.change != null) {
        state.change.end(false, "the duty was lost");
      }
    }
    groups.clear();
    context.timers().after(LEASE_MS, this::acquireLeaseIfFree);
  }

  /** Gives the duty up because the process stops. */
  public void stop() {
    stopped = true;
    if (lease != 0) {
      long held = lease;
      lose("the process stops");
      context.store().endLease(held, ignored -> {});
    }
  }

  private void tick() {
    if (lease == 0) {
      return;
    }
    context.timers().after(TICK_MS, this::tick);
    if (!holdsLease()) {
      return;
    }
    sweep.tick();
    for (String group : new ArrayList<>(context.databases().groups())) {
      GroupState state = groups.computeIfAbsent(group, key -> new GroupState());
      if (state.change == null && !(state.paused && now() - state.pauseUntilNanos < 0)) {
        watch(group, state);
      }
    }
  }

  private long now() {
    return context.clocks().steadyNanos();
  }

  private void watch(String group, GroupState state) {
    @Nullable PrimaryRecord record = authority.record(group);
    if (record == null) {
      appoint(group, state);
      return;
    }
    if (record.changing()) {
      replace(record, state, "an earlier change did not end", false);
      return;
    }
    DatabaseControl.@Nullable Candidate primary = null;
    for (DatabaseControl.Candidate candidate : context.databases().candidates(group)) {
      if (candidate.id().equals(record.database())) {
        primary = candidate;
      }
    }
    if (primary == null) {
      missing(record, state);
      return;
    }
    state.missing = false;
    if (primary.draining()) {
      replace(record, state, "it is draining", false);
    } else if (!state.probing && stale(primary)) {
      probe(record, state);
    }
  }

  private static boolean stale(DatabaseControl.Candidate primary) {
    return primary.answerAgeMillis() < 0 || primary.answerAgeMillis() > PROBE_AFTER_MS;
  }

  private void missing(PrimaryRecord record, GroupState state) {
    if (!state.missing) {
      state.missing = true;
      state.missingSinceNanos = now();
    } else if (now() - state.missingSinceNanos > MISSING_MS * 1_000_000) {
      replace(record, state, "it is not registered", true);
    }
  }

  /** Names the first primary of a group: the one that says it leads. */
  private void appoint(String group, GroupState state) {
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
                    writeFirst(group, candidate.id(), status.term());
                  }
                });
        return;
      }
    }
  }

  private void writeFirst(String group, String database, long term) {
    PrimaryRecord record = new PrimaryRecord(group, database, term, false, fence, 0);
    String key = ControlKeys.primary(group);
    context
        .store()
        .transact(
            List.of(new Expectation(key, 0), new Expectation(ControlKeys.FAILOVER_LEASE, fence)),
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
                replace(record, state, "it follows term " + status.term(), false);
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
    boolean refused = now() - sentNanos < REFUSED_MS * 1_000_000;
    long span = refused ? REFUSED_SPAN_MS : SILENT_MS;
    boolean silent = now() - state.failedProbesSinceNanos > span * 1_000_000;
    if (state.failedProbes >= 2 && silent && !state.asking) {
      askMembers(record, state);
    }
  }

  /** Replaces a primary that doesn't answer unless most other members reach it. */
  private void askMembers(PrimaryRecord record, GroupState state) {
    List<Member> members = new ArrayList<>();
    for (Member member : context.table().members()) {
      if (!member.name().equals(context.holder()) && !member.suspended()) {
        members.add(member);
      }
    }
    if (members.isEmpty()) {
      replace(record, state, "it does not answer", true);
      return;
    }
    state.asking = true;
    MemberPoll.count(
        members,
        (member, answer) ->
            context.messages().reaches(member, record.group(), record.database(), answer),
        reached -> {
          state.asking = false;
          judge(record, state, reached, members.size());
        });
  }

  private void judge(PrimaryRecord record, GroupState state, int reached, int asked) {
    if (state.failedProbes == 0 || 2 * reached > asked) {
      context
          .listener()
          .changed("suspicion_rejected", record.group(), reached + " of " + asked + " reach it");
      state.failedProbes = 0;
    } else {
      replace(record, state, "it does not answer; " + reached + " of " + asked + " reach it", true);
    }
  }

  private void replace(PrimaryRecord record, GroupState state, String reason, boolean keepIfBack) {
    if (lease == 0 || !holdsLease() || state.change != null) {
      return;
    }
    state.failedProbes = 0;
    state.missing = false;
    PrimaryChange change =
        new PrimaryChange(
            context,
            record,
            fence,
            keepIfBack,
            success -> {
              state.change = null;
              if (!success) {
                state.paused = true;
                state.pauseUntilNanos = now() + FAILED_CHANGE_PAUSE_MS * 1_000_000;
                epoch.load();
              }
            });
    state.change = change;
    change.start(reason);
  }
}
