package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Avoidance;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.ControlListener;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.version.Organisation.RateLimit;

/**
 * Obtains the grant that each operation of an organisation with a limit needs before its first
 * statement.
 *
 * <p>The first coordinator is asked, then the second if the first doesn't answer in time or
 * declines. If neither decides, this host grants by itself from a bucket that has the permitted
 * excess of the rate, divided by the number of members.
 *
 * <p>Invariant: every call of {@link #ask} ends with one callback within two timeouts, unless it is
 * withdrawn. An answer that comes later and grants is given back. Granting without limit when no
 * coordinator answers would let each host that is cut off run whatever its callers send; refusing
 * everything would stop it completely. The bucket of this host starts empty each time, since it
 * could otherwise save up grants while the coordinators decide, and all hosts could use them at
 * once.
 */
public final class QuotaClient {
  /** Timeout of an answer, which a coordinator gives at once. */
  private static final long ANSWER_TIMEOUT_MS = 150;

  /** How long a coordinator that didn't answer is asked after the other. */
  private static final long AVOIDANCE_MS = 1_000;

  /** A coordinator that answers some requests only changes the state many times a second. */
  private static final long LOG_INTERVAL_MS = 10_000;

  private final String self;
  private final QuotaSelection selection;
  private final QuotaService local;
  private final QuotaMessages messages;
  private final double excess;
  private final Clocks clocks;
  private final Timers timers;
  private final ControlListener listener;
  private final Avoidance avoided;
  private final Avoidance loggedAlone;

  /** Buckets of the organisations for which this host grants by itself now. */
  private final Map<String, TokenBucket> ownBuckets = new HashMap<>();

  private long granted;
  private long refused;
  private long grantedByItself;

  /** Receives the outcome of a request. */
  interface Callback {
    /**
     * The operation may run.
     *
     * @param giveBack returns the grant; to be run once, if nothing was sent to a database
     */
    void granted(Runnable giveBack);

    void refused(long retryAfterMillis);
  }

  /**
   * Creates a client.
   *
   * @param local coordinators on this host
   * @param excess fraction of a rate that all hosts together may grant beyond it
   */
  public QuotaClient(
      String self,
      QuotaSelection selection,
      QuotaService local,
      QuotaMessages messages,
      double excess,
      Clocks clocks,
      Timers timers,
      ControlListener listener) {
    this.self = self;
    this.selection = selection;
    this.local = local;
    this.messages = messages;
    this.excess = excess;
    this.clocks = clocks;
    this.timers = timers;
    this.listener = listener;
    this.avoided = new Avoidance(clocks, AVOIDANCE_MS);
    this.loggedAlone = new Avoidance(clocks, LOG_INTERVAL_MS);
  }

  /** Returns how many operations were granted, by coordinators or by this host. */
  public long grants() {
    return granted;
  }

  /** Returns how many operations were refused. */
  public long refusals() {
    return refused;
  }

  /** Returns how many operations this host granted because no coordinator answered. */
  public long ownGrants() {
    return grantedByItself;
  }

  /**
   * Asks for one operation. The callback may be called before this method returns.
   *
   * @param version version of the configuration that has the limit
   * @return withdraws the request; a grant that comes later is given back
   */
  Runnable ask(String organisation, RateLimit limit, long version, Callback callback) {
    QuotaRequest request = new QuotaRequest(organisation, limit, version, false);
    Pending pending = new Pending(request, candidates(organisation), callback);
    pending.askNext();
    return pending::end;
  }

  /**
   * Returns the coordinators in the order in which they are asked. If both are avoided, only one is
   * asked, so that a host that is cut off answers its callers soon.
   */
  private List<Member> candidates(String organisation) {
    QuotaSelection.Coordinators chosen = selection.of(organisation);
    @Nullable Member first = chosen.first();
    @Nullable Member second = chosen.second();
    if (first == null) {
      return List.of();
    }
    if (second == null) {
      return List.of(first);
    }
    if (!avoided.contains(first.name())) {
      return List.of(first, second);
    }
    return avoided.contains(second.name()) ? List.of(second) : List.of(second, first);
  }

  private void giveBack(Member coordinator, String organisation) {
    if (coordinator.name().equals(self)) {
      local.giveBack(organisation, false);
    } else {
      messages.giveBack(coordinator, organisation, false);
    }
  }

  /** Decides without a coordinator. */
  private void decideAlone(QuotaRequest request, Callback callback) {
    String organisation = request.organisation();
    long now = clocks.steadyNanos();
    double rate = excess * request.limit().perSecond() / selection.memberCount();
    @Nullable TokenBucket known = ownBuckets.get(organisation);
    if (known == null) {
      known = new TokenBucket(rate, 1, now);
      ownBuckets.put(organisation, known);
      if (!loggedAlone.contains(organisation)) {
        loggedAlone.add(organisation);
        listener.changed("quota_alone", organisation, "no coordinator decides");
      }
    }
    TokenBucket bucket = known;
    bucket.limit(rate, 1, now);
    if (bucket.take(now)) {
      granted++;
      grantedByItself++;
      callback.granted(() -> bucket.add(1));
    } else {
      refused++;
      callback.refused(Math.min(AVOIDANCE_MS, bucket.millisUntil(1, now)));
    }
  }

  /** A request that has no outcome yet. */
  private final class Pending {
    private final QuotaRequest request;
    private final List<Member> candidates;
    private final Callback callback;
    private final List<Member> asked = new ArrayList<>();
    private Timers.@Nullable Timer timeout;
    private boolean ended;

    Pending(QuotaRequest request, List<Member> candidates, Callback callback) {
      this.request = request;
      this.candidates = candidates;
      this.callback = callback;
    }

    void askNext() {
      if (asked.size() == candidates.size()) {
        end();
        decideAlone(request, callback);
        return;
      }
      Member next = candidates.get(asked.size());
      asked.add(next);
      timeout = timers.after(ANSWER_TIMEOUT_MS, () -> failed(next));
      if (next.name().equals(self)) {
        local.ask(request, decision -> answered(next, decision));
      } else {
        messages.ask(next, request, decision -> answered(next, decision));
      }
    }

    private boolean waitsFor(Member coordinator) {
      return !ended && asked.get(asked.size() - 1).equals(coordinator);
    }

    private void failed(Member coordinator) {
      if (waitsFor(coordinator)) {
        avoided.add(coordinator.name());
        stopTimer();
        askNext();
      }
    }

    private void answered(Member coordinator, @Nullable QuotaDecision decision) {
      if (decision == null || decision.kind() == QuotaDecision.Kind.DECLINED) {
        failed(coordinator);
      } else if (decision.kind() == QuotaDecision.Kind.GRANTED) {
        if (ended) {
          giveBack(coordinator, request.organisation());
        } else {
          decided();
          granted++;
          callback.granted(() -> giveBack(coordinator, request.organisation()));
        }
      } else if (waitsFor(coordinator)) {
        decided();
        refused++;
        callback.refused(decision.retryAfterMillis());
      }
    }

    private void decided() {
      end();
      ownBuckets.remove(request.organisation());
    }

    void end() {
      ended = true;
      stopTimer();
    }

    private void stopTimer() {
      if (timeout != null) {
        timeout.cancel();
        timeout = null;
      }
    }
  }
}
