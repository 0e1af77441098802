package org.pollenspar.core.process;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides when an agent replaces the primary of one group, and with which database.
 *
 * <p>The agents of a group are ordered; the first acts as soon as the primary is suspect, the n-th
 * (n − 1) seconds later. An agent takes an advisory lease, fences the group at a new term, and with
 * a majority fenced promotes the most advanced database.
 *
 * <p>Invariant: an agent promotes at most one database per term, and only in a term whose fence was
 * granted to it and confirmed by a majority. The platform grants a term to one owner, so two agents
 * never promote in the same term. The lease alone fails here: its holder may pause, lose it, and
 * resume in the belief that it still holds it; a term is refused by the platform and the databases.
 */
public final class FailoverPolicy {
  /** Each agent after the first waits this much longer than the one before it. */
  static final long STAGGER_NANOS = 1_000_000_000L;

  /** An outage of the key-value service costs this much and not the failover. */
  static final long LEASE_WAIT_NANOS = 300_000_000L;

  /** Pause before a call that was not answered is repeated. */
  static final long RETRY_NANOS = 200_000_000L;

  /** Pause after another agent was found to act, or after a promotion; homes see it meanwhile. */
  static final long SETTLE_NANOS = 1_000_000_000L;

  private static final long MAX_REPLACEMENT_PAUSE_NANOS = 30_000_000_000L;
  private static final int MAX_PROMOTE_ATTEMPTS = 5;
  private static final long SHORT_POLL_MILLIS = 200;
  private static final long LONG_POLL_MILLIS = 1_000;

  private final FailoverView view = new FailoverView();
  private Topology topology = new Topology(0, List.of(), List.of(), Set.of());
  private Step step = Step.WATCH;
  private OptionalLong reasonSince = OptionalLong.empty();
  private long notBefore = Long.MIN_VALUE;
  private long replacementPause = SETTLE_NANOS;
  private long replaceNotBefore = Long.MIN_VALUE;
  private long highestTerm;
  private long nextId;
  private long deadline;
  private int promoteAttempts;
  private boolean readTermDue;
  private FailoverAction.@Nullable Promote promotion;
  private @Nullable FailoverAction pending;

  private enum Step {
    WATCH,
    LEASE,
    FENCE,
    PROMOTE,
    READ_TERM
  }

  /**
   * The agent's and the homes' place in the group.
   *
   * @param order 0 for the first agent of the group, 1 for the second, and so on
   * @param homes home proxies
   * @param databases all databases of the group
   * @param leaving databases on hosts that leave the fleet
   */
  public record Topology(
      int order, List<HomeProxy> homes, List<String> databases, Set<String> leaving) {

    /** Copies the collections. */
    public Topology {
      homes = List.copyOf(homes);
      databases = List.copyOf(databases);
      leaving = Set.copyOf(leaving);
    }

    int majority() {
      return databases.size() / 2 + 1;
    }
  }

  /**
   * A home proxy of the group.
   *
   * @param id id in the host list
   * @param domain failure domain
   */
  public record HomeProxy(String id, String domain) {}

  /**
   * A database as a home's last answered probe showed it.
   *
   * @param id name of the database
   * @param primary whether it believes to be the primary
   * @param fencedTerm terms below it are refused
   * @param logTerm term of its log
   * @param probeAgeMillis age of the last answered probe; 4294967295 if there is none
   */
  public record ReportedDatabase(
      String id, boolean primary, long fencedTerm, long logTerm, long probeAgeMillis) {

    boolean leads() {
      return primary && fencedTerm <= logTerm;
    }

    boolean recent() {
      return probeAgeMillis < FailoverView.SUSPICION_MILLIS;
    }
  }

  /**
   * A database that confirmed a fence.
   *
   * @param id name of the database
   * @param fencedTerm term that it confirmed
   * @param logTerm term of its log
   * @param offset last log entry
   */
  public record FencedDatabase(String id, long fencedTerm, long logTerm, long offset) {}

  /** How a call to a platform service ended. */
  public enum Answer {
    GRANTED,
    REFUSED,
    /** No answer: the call may or may not have taken effect. */
    UNKNOWN
  }

  /** Sets the agents' order, the homes and the databases. */
  public void topology(Topology current) {
    topology = current;
    view.homes(current.homes());
  }

  /** Takes a home's report. */
  public void report(String homeId, List<ReportedDatabase> databases, long nowNanos) {
    view.report(homeId, databases, nowNanos);
    highestTerm = Math.max(highestTerm, view.highestTerm());
  }

  /** Returns how long to wait between two rounds of reports. */
  public long pollMillis(long nowNanos) {
    boolean fast = topology.order() == 0 || step != Step.WATCH || view.alert(nowNanos);
    return fast ? SHORT_POLL_MILLIS : LONG_POLL_MILLIS;
  }

  /** Returns the database that the homes see as the primary. */
  public Optional<String> primary(long nowNanos) {
    return view.primary(nowNanos).map(ReportedDatabase::id);
  }

  /** Returns whether a replacement is due or in progress. */
  public boolean acting() {
    return step != Step.WATCH || reasonSince.isPresent();
  }

  /** Returns the next thing to do, if any; called after every event and at least every 100 ms. */
  public Optional<FailoverAction> tick(long nowNanos) {
    if (step == Step.LEASE && nowNanos >= deadline) {
      return fenceIfStillDue(nowNanos);
    }
    if (pending != null || nowNanos < notBefore) {
      return Optional.empty();
    }
    return switch (step) {
      case LEASE, FENCE -> fenceIfStillDue(nowNanos);
      case PROMOTE -> repeatPromotion();
      case READ_TERM, WATCH -> watch(nowNanos);
    };
  }

  private Optional<FailoverAction> watch(long nowNanos) {
    if (readTermDue) {
      readTermDue = false;
      return issue(Step.READ_TERM, new FailoverAction.ReadTerm(++nextId));
    }
    step = Step.WATCH;
    if (!reasonToAct(nowNanos)) {
      reasonSince = OptionalLong.empty();
      return Optional.empty();
    }
    if (reasonSince.isEmpty()) {
      reasonSince = OptionalLong.of(nowNanos);
    }
    long patience = topology.order() * STAGGER_NANOS;
    if (betweenTerms(nowNanos)) {
      // Another agent is usually between fence and promotion.
      patience += FailoverView.SUSPICION_MILLIS * 1_000_000;
    }
    if (nowNanos - reasonSince.getAsLong() < patience) {
      return Optional.empty();
    }
    deadline = nowNanos + LEASE_WAIT_NANOS;
    return issue(Step.LEASE, new FailoverAction.TakeLease(++nextId));
  }

  private boolean reasonToAct(long nowNanos) {
    boolean primaryLost =
        view.primary(nowNanos)
            .map(p -> view.suspects(p.id(), nowNanos) || replaceable(p.id(), nowNanos))
            .orElse(false);
    return primaryLost || betweenTerms(nowNanos);
  }

  private boolean betweenTerms(long nowNanos) {
    return view.leaderless(nowNanos) || view.superseded(nowNanos);
  }

  /** Returns whether the primary's host leaves and another database could take over. */
  private boolean replaceable(String primaryId, long nowNanos) {
    return nowNanos >= replaceNotBefore
        && topology.leaving().contains(primaryId)
        && !topology.leaving().containsAll(topology.databases());
  }

  /** An agent that was paused while it waited for the lease may find a new primary. */
  private Optional<FailoverAction> fenceIfStillDue(long nowNanos) {
    if (!reasonToAct(nowNanos)) {
      pending = null;
      step = Step.WATCH;
      return Optional.empty();
    }
    highestTerm++;
    return issue(Step.FENCE, new FailoverAction.Fence(++nextId, highestTerm));
  }

  private Optional<FailoverAction> issue(Step next, FailoverAction action) {
    step = next;
    pending = action;
    return Optional.of(action);
  }

  /** Takes the answer to {@link FailoverAction.TakeLease}; only a refusal delays the failover. */
  public void leaseAnswered(long actionId, Answer answer, long nowNanos) {
    if (awaited(actionId) && answer == Answer.REFUSED) {
      pause(nowNanos, SETTLE_NANOS);
    }
  }

  /** Takes the answer to {@link FailoverAction.Fence}. */
  public void fenceAnswered(
      long actionId, Answer answer, List<FencedDatabase> fenced, long nowNanos) {
    if (!(pending instanceof FailoverAction.Fence fence) || !awaited(actionId)) {
      return;
    }
    if (answer == Answer.REFUSED) {
      readTermDue = true;
      pause(nowNanos, SETTLE_NANOS);
      return;
    }
    List<FencedDatabase> confirmed =
        fenced.stream().filter(d -> d.fencedTerm() == fence.term()).toList();
    if (answer == Answer.UNKNOWN || confirmed.size() < topology.majority()) {
      // The term may be used up; the next attempt needs a new one, and a reason that still holds.
      pause(nowNanos, RETRY_NANOS);
      return;
    }
    promoteAttempts = 0;
    promotion = new FailoverAction.Promote(0, fence.term(), best(confirmed));
    step = Step.PROMOTE;
  }

  /** Returns the most advanced database, one on a host that stays if there is a choice. */
  private String best(List<FencedDatabase> confirmed) {
    Comparator<FencedDatabase> byPosition =
        Comparator.comparingLong(FencedDatabase::logTerm).thenComparingLong(FencedDatabase::offset);
    FencedDatabase first =
        confirmed.stream()
            .max(
                byPosition
                    .thenComparing(d -> !topology.leaving().contains(d.id()))
                    .thenComparing(FencedDatabase::id))
            .orElseThrow();
    // The platform accepts only the most advanced, so a leaving primary that is ahead stays for
    // now.
    boolean stillLeaving = topology.leaving().contains(first.id());
    replacementPause =
        stillLeaving ? Math.min(2 * replacementPause, MAX_REPLACEMENT_PAUSE_NANOS) : SETTLE_NANOS;
    return first.id();
  }

  private Optional<FailoverAction> repeatPromotion() {
    FailoverAction.Promote wanted = promotion;
    if (wanted == null) {
      step = Step.WATCH;
      return Optional.empty();
    }
    promoteAttempts++;
    return issue(
        Step.PROMOTE, new FailoverAction.Promote(++nextId, wanted.term(), wanted.databaseId()));
  }

  /** Takes the answer to {@link FailoverAction.Promote}. */
  public void promoteAnswered(long actionId, Answer answer, long nowNanos) {
    if (!(pending instanceof FailoverAction.Promote) || !awaited(actionId)) {
      return;
    }
    if (answer == Answer.UNKNOWN && promoteAttempts < MAX_PROMOTE_ATTEMPTS) {
      // The same database in the same term: a repetition cannot make a second primary.
      notBefore = nowNanos + RETRY_NANOS;
      return;
    }
    promotion = null;
    readTermDue = answer == Answer.REFUSED;
    replaceNotBefore = nowNanos + replacementPause;
    pause(nowNanos, SETTLE_NANOS);
  }

  /** Takes the answer to {@link FailoverAction.ReadTerm}; empty if the platform did not answer. */
  public void termAnswered(long actionId, OptionalLong term, long nowNanos) {
    if (awaited(actionId)) {
      highestTerm = Math.max(highestTerm, term.orElse(0));
      readTermDue = term.isEmpty();
      notBefore = nowNanos + (term.isEmpty() ? RETRY_NANOS : 0);
    }
  }

  private boolean awaited(long actionId) {
    if (pending == null || pending.id() != actionId) {
      return false;
    }
    pending = null;
    return true;
  }

  private void pause(long nowNanos, long nanos) {
    step = Step.WATCH;
    notBefore = nowNanos + nanos;
  }
}
