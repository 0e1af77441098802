package org.pollenspar.core.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.DatabaseState;

/**
 * Decides for one group when this agent replaces the primary, and which steps the replacement
 * takes. An agent is a failover process. Not thread-safe.
 *
 * <p>A primary is suspected only on reports from homes in more than one failure domain, because a
 * network failure near one home looks like a failed primary to this home. A suspicion has one of
 * four causes, see {@link SuspicionCause}. The agents of a group are ordered; the n-th, counted
 * from 0, waits n times {@link FailoverTiming#orderDelayNanos} longer than the first, so normally
 * one agent acts.
 *
 * <p>Invariant: at most one database is promoted per term. It does not depend on this class: the
 * platform grants a term to one owner, and databases refuse older terms. The order, the advisory
 * lease and the delays only keep agents from disturbing each other. A lease alone would not be
 * enough: its holder may be paused until after the lease has expired and then go on.
 */
public final class FailoverPolicy {
  private static final int MAX_DOUBLINGS = 3;

  private enum Step {
    WATCHING,
    READING,
    LEASING,
    FENCING,
    PROMOTING
  }

  /** A report and the time at which it arrived. */
  private record Received(VantageReport report, long nanos) {}

  private final int groupSize;
  private final FailoverTiming timing;
  private final Map<String, Received> reports = new HashMap<>();
  private Set<String> leaving = Set.of();
  private int place;
  private int requiredDomains = 2;
  private Step step = Step.WATCHING;
  private @Nullable SuspicionCause cause;
  private @Nullable String suspect;
  private long suspectedSince;
  private long idleUntil;
  private long majorityOffset;
  private OptionalLong behindSince = OptionalLong.empty();
  private int unconfirmedSuspicions;
  private long term;
  private long leavingTerm;
  private long leavingPauseNanos;
  private long replaceLeavingFrom;

  /**
   * Creates the policy of one group.
   *
   * @param groupSize number of databases of the group
   * @param nowNanos current time of the steady clock, as in all methods
   */
  public FailoverPolicy(int groupSize, FailoverTiming timing, long nowNanos) {
    this.groupSize = groupSize;
    this.timing = timing;
    this.idleUntil = nowNanos;
    this.leavingPauseNanos = timing.settleNanos();
    this.replaceLeavingFrom = nowNanos;
  }

  /** Sets this agent's place in the group's order of agents; 0 is first. */
  public void place(int newPlace) {
    place = newPlace;
  }

  /** Sets the homes of the group and drops the reports of other proxies. */
  public void homes(Collection<Host> homes) {
    reports.keySet().retainAll(homes.stream().map(Host::id).toList());
    long domains = homes.stream().map(Host::domain).distinct().count();
    requiredDomains = (int) Math.max(1, Math.min(2, domains));
  }

  /** Sets the databases on hosts that leave the fleet. */
  public void leaving(Set<String> databaseIds) {
    leaving = Set.copyOf(databaseIds);
  }

  public void reported(VantageReport report, long nowNanos) {
    reports.put(report.homeId(), new Received(report, nowNanos));
    Map<String, DatabaseState> states = states(nowNanos);
    long offset = majorityOffset(states);
    boolean advanced = offset != majorityOffset;
    majorityOffset = offset;
    boolean behind = leader(states.values()).filter(p -> p.logOffset() > offset).isPresent();
    if (!behind) {
      behindSince = OptionalLong.empty();
    } else if (advanced || behindSince.isEmpty()) {
      behindSince = OptionalLong.of(nowNanos);
    }
  }

  /** Returns why a replacement is considered or in progress; empty if none is. */
  public Optional<SuspicionCause> cause() {
    return Optional.ofNullable(cause);
  }

  /** Returns the suspected primary; empty if the group has none. */
  public Optional<String> suspect() {
    return Optional.ofNullable(suspect);
  }

  /**
   * Returns the action to start now. To be called at short intervals; each action is returned once.
   */
  public FailoverAction tick(long nowNanos) {
    if (step != Step.WATCHING || nowNanos - idleUntil < 0) {
      return new FailoverAction.None();
    }
    Optional<SuspicionCause> found = evidence(nowNanos);
    if (found.isEmpty()) {
      cause = null;
      suspect = null;
      unconfirmedSuspicions = 0;
      return new FailoverAction.None();
    }
    if (cause == null) {
      suspectedSince = nowNanos;
    }
    cause = found.get();
    long delay = cause.delayNanos(timing) + place * timing.orderDelayNanos();
    if (nowNanos - suspectedSince < delay) {
      return new FailoverAction.None();
    }
    step = Step.READING;
    return new FailoverAction.ReadSummary();
  }

  private Optional<SuspicionCause> evidence(long nowNanos) {
    List<VantageReport> fresh = freshReports(nowNanos);
    if (fresh.stream().map(VantageReport::domain).distinct().count() < requiredDomains) {
      return Optional.empty();
    }
    Map<String, DatabaseState> states = states(nowNanos);
    Optional<DatabaseState> primary = leader(states.values());
    suspect = primary.map(DatabaseState::databaseId).orElse(null);
    if (primary.isEmpty()) {
      return states.isEmpty() ? Optional.empty() : Optional.of(SuspicionCause.NO_PRIMARY);
    }
    String id = primary.get().databaseId();
    if (leavingAndReplaceable(primary.get(), states.keySet(), nowNanos)) {
      return Optional.of(SuspicionCause.LEAVING);
    }
    if (unreachable(fresh, id)) {
      return Optional.of(SuspicionCause.UNREACHABLE);
    }
    boolean stalled =
        behindSince.isPresent() && nowNanos - behindSince.getAsLong() >= timing.suspicionNanos();
    return stalled ? Optional.of(SuspicionCause.NOT_REPLICATING) : Optional.empty();
  }

  /**
   * Returns whether the primary's host leaves and an attempt to replace it is due. If the leaving
   * primary was promoted again, by any agent, it was the only database that held every acknowledged
   * write. Each attempt stops the group's writes for a moment, so the pause between attempts
   * doubles.
   */
  private boolean leavingAndReplaceable(DatabaseState primary, Set<String> known, long nowNanos) {
    if (!leaving.contains(primary.databaseId())) {
      leavingTerm = 0;
      leavingPauseNanos = timing.settleNanos();
      return false;
    }
    if (leavingTerm != 0 && primary.logTerm() > leavingTerm) {
      leavingPauseNanos = Math.min(2 * leavingPauseNanos, timing.maxLeavingPauseNanos());
      replaceLeavingFrom = nowNanos + leavingPauseNanos;
    }
    leavingTerm = primary.logTerm();
    return nowNanos - replaceLeavingFrom >= 0 && !leaving.containsAll(known);
  }

  /**
   * Returns whether no home reaches the primary, on the reports of homes in enough failure domains.
   * Homes that reach no database of the group are cut off themselves and are not counted.
   */
  private boolean unreachable(List<VantageReport> fresh, String id) {
    List<VantageReport> voters =
        fresh.stream()
            .filter(report -> report.databases().stream().anyMatch(this::answeredRecently))
            .toList();
    return voters.stream().map(VantageReport::domain).distinct().count() >= requiredDomains
        && voters.stream().allMatch(report -> cannotReach(report, id));
  }

  private boolean answeredRecently(ObservedDatabase database) {
    return database.probeAgeNanos() < timing.suspicionNanos();
  }

  private boolean cannotReach(VantageReport report, String id) {
    return report.databases().stream()
        .filter(database -> database.state().databaseId().equals(id))
        .noneMatch(this::answeredRecently);
  }

  private List<VantageReport> freshReports(long nowNanos) {
    return reports.values().stream()
        .filter(received -> nowNanos - received.nanos <= timing.reportMaxAgeNanos())
        .map(Received::report)
        .toList();
  }

  /** Returns the most advanced state of each database in the fresh reports. */
  private Map<String, DatabaseState> states(long nowNanos) {
    Map<String, DatabaseState> states = new HashMap<>();
    for (VantageReport report : freshReports(nowNanos)) {
      for (ObservedDatabase database : report.databases()) {
        states.merge(database.state().databaseId(), database.state(), DatabaseState::later);
      }
    }
    return states;
  }

  private static Optional<DatabaseState> leader(Collection<DatabaseState> states) {
    long highest =
        states.stream().mapToLong(s -> Math.max(s.logTerm(), s.fencedTerm())).max().orElse(0);
    return states.stream().filter(s -> s.leads() && s.logTerm() == highest).findFirst();
  }

  private long majorityOffset(Map<String, DatabaseState> states) {
    int majority = groupSize / 2 + 1;
    List<Long> offsets =
        states.values().stream()
            .map(DatabaseState::logOffset)
            .sorted((a, b) -> Long.compare(b, a))
            .toList();
    return offsets.size() < majority ? 0 : offsets.get(majority - 1);
  }

  /** Processes the platform's summary; empty if the platform did not answer. */
  public FailoverAction summaryRead(Optional<GroupSummary> answer, long nowNanos) {
    expect(Step.READING);
    if (answer.isEmpty() || cause == null) {
      return retry(nowNanos);
    }
    GroupSummary summary = answer.get();
    boolean replaced = suspect != null && !summary.primary().equals(Optional.of(suspect));
    if (replaced || !cause.confirmedBy(summary)) {
      return retryLater(nowNanos);
    }
    term = summary.term() + 1;
    step = Step.LEASING;
    return new FailoverAction.TakeLease();
  }

  /** Processes the answer to the request for the advisory lease. */
  public FailoverAction leaseAnswered(LeaseAnswer answer, long nowNanos) {
    expect(Step.LEASING);
    if (!answer.proceeds()) {
      return retry(nowNanos);
    }
    step = Step.FENCING;
    return new FailoverAction.Fence(term);
  }

  /**
   * Processes the answer to the fence.
   *
   * @param fenced databases that confirmed it; empty if the term was refused or no answer came
   */
  public FailoverAction fenced(List<DatabaseState> fenced, long nowNanos) {
    expect(Step.FENCING);
    Optional<String> chosen = PromotionChoice.choose(fenced, groupSize, leaving);
    if (chosen.isEmpty()) {
      return retry(nowNanos);
    }
    step = Step.PROMOTING;
    return new FailoverAction.Promote(term, chosen.get());
  }

  /** Processes the answer to the promotion; false if it was refused or no answer came. */
  public FailoverAction promoted(boolean granted, long nowNanos) {
    expect(Step.PROMOTING);
    if (!granted) {
      return retry(nowNanos);
    }
    step = Step.WATCHING;
    cause = null;
    idleUntil = nowNanos + timing.settleNanos();
    return new FailoverAction.None();
  }

  /**
   * Doubles the pause with each suspicion that the platform does not confirm, so that lagging
   * replicas do not cause a call to the platform at every retry.
   */
  private FailoverAction retryLater(long nowNanos) {
    FailoverAction none = retry(nowNanos);
    idleUntil = nowNanos + (timing.retryNanos() << unconfirmedSuspicions);
    unconfirmedSuspicions = Math.min(unconfirmedSuspicions + 1, MAX_DOUBLINGS);
    return none;
  }

  private FailoverAction retry(long nowNanos) {
    step = Step.WATCHING;
    idleUntil = nowNanos + timing.retryNanos();
    return new FailoverAction.None();
  }

  private void expect(Step expected) {
    if (step != expected) {
      throw new IllegalStateException("Expected step " + expected + ", was " + step + ".");
    }
  }
}
