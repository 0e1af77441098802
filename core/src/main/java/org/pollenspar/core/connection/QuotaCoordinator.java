package org.pollenspar.core.connection;

import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ClockReading;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.ControlListener;
import org.pollenspar.core.version.Organisation.RateLimit;

/**
 * The budget of one organisation on one of its two coordinators.
 *
 * <p>The first coordinator grants at the full rate only while the second has lately promised to
 * pass requests on to it; the acknowledgement of a heartbeat is that promise. Without it, the first
 * grants at half of the rate, and the second, once the promise has expired, at the other half. The
 * first counts the promise from when it sent the heartbeat and for half of the time for which the
 * second keeps it, so the first is at half before the second begins. One coordinator alone would
 * stop all operations when it fails; two that both take over the full rate would double it whenever
 * the network between them is cut.
 *
 * <p>Invariant: at any time the rates at which the two grant add up to at most the limit, and so do
 * the tokens that they hold. So in any time t, both together grant at most burst + rate x t. A host
 * that begins to grant therefore starts with an empty bucket, and the first coordinator sets the
 * tokens above half of the burst aside while it is at half: it gets them back only if the second
 * has granted nothing meanwhile, which the second's epoch shows.
 *
 * <p>A member that was suspended may be cut off and not know it; it grants until its confirmation
 * has expired, and it stays suspended in the list until then. Its successor is limited to half of
 * the rate for this time, and grants nothing if both former coordinators are suspended. Before they
 * are suspended, both may be cut off together and still grant the whole rate. So a host that has
 * become a coordinator grants nothing until it has heard the other one, or until the confirmations
 * of all hosts that were cut off before must have expired.
 *
 * <p>A coordinator that is replaced by a host that joins may be cut off too. The remaining one asks
 * it until it acknowledges that it coordinates no longer ({@link FormerCoordinators}), and counts
 * it as one that grants half of the rate while it is silent. While a former first may grant the
 * whole rate, the remaining one follows nobody, so that the new first grants nothing yet.
 */
final class QuotaCoordinator {
  /** Age of the second's promise from which on the first grants at half of the rate. */
  private static final long FIRST_SILENCE_MS = 750;

  /** Silence of the first after which the second grants at half of the rate. */
  private static final long SECOND_SILENCE_MS = 1_500;

  /** Bound of the time to come back that is stated to many refused operations at once. */
  private static final double MAX_RETRY_SECONDS = 1;

  /** Place of this host among the coordinators. */
  enum Role {
    FIRST,
    SECOND
  }

  /** What this host does with a request. */
  enum Mode {
    /** Decides, with the whole rate. */
    FULL,
    /** Decides, with half of the rate. */
    HALF,
    /** Passes requests on to the first coordinator. */
    FOLLOWING,
    /** Declines, since other hosts may grant the whole rate. */
    BARRED
  }

  private final String organisation;
  private final Clocks clocks;
  private final ControlListener listener;
  private final TokenBucket bucket;
  private RateLimit limit;
  private long version;
  private @Nullable Role role;
  private @Nullable String other;
  private int suspendedBefore;
  private Mode mode = Mode.FOLLOWING;

  /**
   * On the first coordinator, when the heartbeat was sent that the second acknowledged last, null
   * for none; on the second, when the last heartbeat arrived or this host became the second.
   */
  private @Nullable ClockReading heardAt;

  private final ClockReading createdAt;
  private boolean heardAny;

  /** When the present other coordinator became that. */
  private ClockReading otherSince;

  private final FormerCoordinators former;

  /** From when and for how long a host may still grant, by what the first coordinator said. */
  private ClockReading sharedSince;

  private long sharedMillis;

  /** Epoch in the last acknowledgement of the present second coordinator; null for none. */
  private @Nullable Long otherEpoch;

  /** Whether the present second knows of a third host that may still grant. */
  private boolean secondKnowsThird;

  /** Tokens that the first coordinator set aside when it went from the full rate to half. */
  private double setAside;

  private long epoch;
  private double refusedSinceGrant;
  private ClockReading askedAt;

  QuotaCoordinator(
      String organisation, RateLimit limit, long version, Clocks clocks, ControlListener listener) {
    this.organisation = organisation;
    this.limit = limit;
    this.version = version;
    this.clocks = clocks;
    this.listener = listener;
    this.bucket = new TokenBucket(limit.perSecond(), limit.burst(), clocks.steadyNanos());
    // Differs from the epochs of an earlier process of this name.
    this.epoch = Math.max(1, clocks.wallMillis());
    this.createdAt = ClockReading.now(clocks);
    this.askedAt = createdAt;
    this.otherSince = createdAt;
    this.sharedSince = createdAt;
    this.former = new FormerCoordinators(clocks, FIRST_SILENCE_MS);
  }

  /**
   * Sets this host's place, the other coordinator and the number of suspended predecessors.
   *
   * @param members whether a host of a name is a member, active or suspended
   */
  void assign(
      Role newRole, @Nullable String newOther, int newSuspendedBefore, Predicate<String> members) {
    refresh();
    boolean otherChanged = !Objects.equals(other, newOther);
    if (otherChanged) {
      otherReplaced(newRole, newOther);
    }
    former.retain(members);
    if (newRole != role) {
      heardAt = newRole == Role.SECOND ? ClockReading.now(clocks) : null;
      listener.changed(
          "quota_coordinator",
          organisation,
          (newRole == Role.FIRST ? "first" : "second") + ", the other is " + newOther);
    } else if (otherChanged && newRole == Role.SECOND) {
      heardAt = ClockReading.now(clocks);
    }
    if (newRole != role || otherChanged) {
      otherEpoch = null;
      otherSince = ClockReading.now(clocks);
    }
    role = newRole;
    other = newOther;
    suspendedBefore = newSuspendedBefore;
    refresh();
  }

  private void otherReplaced(Role newRole, @Nullable String newOther) {
    if (secondKnowsThird) {
      // The next second doesn't know of that host.
      sharedFor(FormerCoordinators.CUT_OFF_MS);
      secondKnowsThird = false;
    }
    if (other != null) {
      @Nullable ClockReading heard = heardAt;
      boolean heardSince = heard != null && heard.steadyNanos() > otherSince.steadyNanos();
      // A host that became a coordinator lately grants nothing yet, so its age is evidence too.
      former.replaced(other, role == Role.SECOND, heard != null && heardSince ? heard : otherSince);
    }
    if (newOther != null && former.contains(newOther)) {
      if (role == Role.FIRST && newRole == Role.FIRST) {
        heardAt = former.promiseOf(newOther);
      }
      former.forget(newOther);
    }
  }

  /** Returns the names of replaced coordinators that may not know it and have to be asked. */
  Set<String> formerCoordinators() {
    return former.names();
  }

  /** Records the answer of a replaced coordinator to a heartbeat. */
  void formerAnswered(String name, ClockReading sentAt, QuotaAcknowledgement answer) {
    if (answer.follows()) {
      former.promised(name, sentAt);
    } else if (answer.epoch() == QuotaAcknowledgement.NO_EPOCH) {
      former.forget(name);
    }
    refresh();
  }

  /** Returns whether answers are due that decide whether, or at which rate, this host grants. */
  boolean awaitsAnswers() {
    return former.anyYoungerThan(FIRST_SILENCE_MS)
        || (role == Role.FIRST && other != null && unheard());
  }

  /** Applies the figures of a configuration, unless those of a later version are known. */
  void limit(RateLimit newLimit, long newVersion) {
    if (newVersion <= version) {
      return;
    }
    version = newVersion;
    if (!newLimit.equals(limit)) {
      limit = newLimit;
      setAside = Math.min(setAside, newLimit.burst() / 2);
      limitBucket();
    }
  }

  long version() {
    return version;
  }

  @Nullable Role role() {
    return role;
  }

  /** Returns what to do with a request that arrived now. */
  Mode asked() {
    askedAt = ClockReading.now(clocks);
    refresh();
    return mode;
  }

  /** Grants or refuses one operation; used only if the mode says that this host decides. */
  QuotaDecision decide() {
    long now = clocks.steadyNanos();
    if (bucket.take(now)) {
      refusedSinceGrant = bucket.tokens(now) >= 1 ? 0 : Math.max(0, refusedSinceGrant - 1);
      return QuotaDecision.GRANTED;
    }
    // Times that differ keep those who are refused together from coming back together.
    refusedSinceGrant = Math.min(refusedSinceGrant + 1, 1 + limit.perSecond() * MAX_RETRY_SECONDS);
    return new QuotaDecision(
        QuotaDecision.Kind.REFUSED, bucket.millisUntil(refusedSinceGrant, now));
  }

  /** Returns one granted operation to the budget; returns false if this host has none now. */
  boolean giveBack() {
    refresh();
    if (mode != Mode.FULL && mode != Mode.HALF) {
      return false;
    }
    bucket.add(1);
    return true;
  }

  /** Returns whether this host has to send heartbeats: it is the first and was asked lately. */
  boolean sendsHeartbeats(long idleMillis) {
    return role == Role.FIRST && other != null && askedAt.ageMillis(clocks) < idleMillis;
  }

  /**
   * Receives a heartbeat; returns whether this host passes requests on to its sender now.
   *
   * @param senderShared {@link #sharedMillis} of the sender, which this host may replace later
   */
  boolean follow(String sender, long senderShared) {
    if (role != Role.SECOND || !sender.equals(other)) {
      return false;
    }
    if (former.anyAtFullRate()) {
      return false;
    }
    sharedFor(senderShared);
    heardAt = ClockReading.now(clocks);
    heardAny = true;
    refresh();
    return true;
  }

  long epoch() {
    return epoch;
  }

  /** Records that the second coordinator acknowledged a heartbeat as one that it follows. */
  void acknowledged(String second, ClockReading sentAt, QuotaAcknowledgement answer) {
    if (role != Role.FIRST || !second.equals(other)) {
      return;
    }
    refresh();
    @Nullable Long known = otherEpoch;
    boolean grantedNothing = known != null && known == answer.epoch();
    otherEpoch = answer.epoch();
    secondKnowsThird = !answer.sole();
    heardAny = true;
    @Nullable ClockReading last = heardAt;
    // Acknowledgements that overtake each other must not shorten the promise.
    if (answer.sole() && (last == null || sentAt.steadyNanos() > last.steadyNanos())) {
      heardAt = sentAt;
    }
    refresh();
    if (mode == Mode.FULL) {
      if (grantedNothing) {
        bucket.add(setAside);
      }
      setAside = 0;
    } else if (!grantedNothing) {
      setAside = 0;
    }
  }

  private void refresh() {
    if (former.sharedMillis() > 0) {
      // The former coordinator may grant these.
      setAside = 0;
    }
    Mode next = nextMode();
    if (next == mode) {
      return;
    }
    Mode before = mode;
    mode = next;
    long now = clocks.steadyNanos();
    if (before == Mode.FOLLOWING || before == Mode.BARRED) {
      bucket.clear(now);
      setAside = 0;
      epoch++;
    }
    double tokens = bucket.tokens(now);
    limitBucket();
    if (before == Mode.FULL && next == Mode.HALF) {
      setAside = tokens - bucket.tokens(now);
    }
    listener.changed("quota_mode", organisation, before + " to " + next);
  }

  private boolean otherSilent() {
    @Nullable ClockReading heard = heardAt;
    return heard == null || heard.ageMillis(clocks) >= FIRST_SILENCE_MS;
  }

  private void sharedFor(long millisFromNow) {
    if (millisFromNow > statedSharedMillis()) {
      sharedSince = ClockReading.now(clocks);
      sharedMillis = millisFromNow;
    }
  }

  private long statedSharedMillis() {
    return Math.max(0, sharedMillis - sharedSince.ageMillis(clocks));
  }

  /** Returns for how long a replaced coordinator that is silent may still grant. */
  long sharedMillis() {
    return Math.max(statedSharedMillis(), former.sharedMillis());
  }

  /** Returns whether hosts that were cut off before this host began may still grant. */
  private boolean unheard() {
    return !heardAny && createdAt.ageMillis(clocks) < FormerCoordinators.CUT_OFF_MS;
  }

  private Mode nextMode() {
    if (role == null) {
      return Mode.FOLLOWING;
    }
    @Nullable ClockReading heard = heardAt;
    if (role == Role.SECOND && heard != null && heard.ageMillis(clocks) < SECOND_SILENCE_MS) {
      return Mode.FOLLOWING;
    }
    boolean mayHavePredecessors = other != null || suspendedBefore > 0;
    boolean shared = suspendedBefore > 0 || sharedMillis() > 0;
    boolean barred = former.anyAtFullRate() || suspendedBefore > 1;
    if ((mayHavePredecessors && unheard()) || barred || (shared && role == Role.SECOND)) {
      return Mode.BARRED;
    }
    boolean promised = other == null || (role == Role.FIRST && !otherSilent());
    return promised && !shared ? Mode.FULL : Mode.HALF;
  }

  private void limitBucket() {
    double share = mode == Mode.FULL ? 1 : 0.5;
    bucket.limit(share * limit.perSecond(), share * limit.burst(), clocks.steadyNanos());
  }
}
