package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.Admission;
import org.pollenspar.core.request.AdmissionQueue;
import org.pollenspar.core.request.Rank;

/**
 * Broker of one database: grants the permits with which all hosts start statements there, in one
 * order.
 *
 * <p>It is used while more work reaches a database than its execution slots can do, for example
 * because replicas fall behind or too many requests of one rank arrive. The database serves in
 * order of arrival, so statements that wait for its slots delay more urgent ones behind them. A
 * host alone can only limit its less urgent ranks by the delay that it sees; many hosts that do so
 * swing together between a full queue and idle slots at the database. One broker for all hosts
 * grants as many permits as keep the slots busy. The other requests wait here in one queue ordered
 * by rank, and a request that can't start within its maximum wait is refused at once.
 *
 * <p>A permit is also held while its request travels and its connection is prepared, when it uses
 * no slot. The right number of permits is therefore above the number of slots, and it is adjusted
 * by the delay that the hosts report of the database's queue: it grows by one while requests wait
 * here and the delay is low, and shrinks by a factor while the delay is high.
 *
 * <p>Invariant: a permit is granted only if fewer permits than the limit are in use. Permits that
 * are never released, for example because their host failed, expire. No correctness depends on
 * permits: a statement that starts without one is only out of order.
 */
public final class SlotBroker {
  /** Permits above the number of slots, before the first report. */
  private static final int INITIAL_EXTRA_PERMITS = 1;

  /** Greatest number of permits per slot. */
  private static final int MAX_PERMITS_PER_SLOT = 2;

  /** Delay of answers by the database's queue below which the limit grows. */
  private static final long LOW_DELAY_MS = 15;

  /** Delay above which the limit shrinks. */
  private static final long HIGH_DELAY_MS = 30;

  private static final double DECREASE_FACTOR = 0.85;
  private static final long WINDOW_NANOS = 100_000_000;

  /** Number of reports from which the mean delay of a window is meaningful. */
  private static final int MIN_REPORTS = 3;

  /** Time after which a permit counts as released; the timeouts of statements are shorter. */
  static final long PERMIT_EXPIRY_MS = 2_500;

  /** Share of the slots that each rank keeps even if more urgent ranks could use all of them. */
  private static final int FLOOR_PERCENT = 10;

  private static final int QUEUE_LIMIT = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Map<Integer, Rank> ranks = new TreeMap<>();
  private final AdmissionQueue<SlotPermitRequest> queue = AdmissionQueue.ranked(List.of(rank(0)));
  private final Set<SlotPermitRequest> waiting = new HashSet<>();
  private final Map<SlotPermitRequest, Long> grantedNanos = new HashMap<>();
  private int slots;
  private double limit;
  private boolean requestsHadToWait;
  private long windowStartNanos;
  private long reportedDelaySumMillis;
  private int reports;
  private long grants;
  private long refusals;

  /** Creates a broker for a database that runs a number of statements at once. */
  public SlotBroker(int slots) {
    slots(slots);
    limit = slots + INITIAL_EXTRA_PERMITS;
  }

  /** Sets how many statements the database runs at once. */
  public void slots(int statements) {
    slots = Math.max(1, statements);
    queue.setConcurrency(slots);
  }

  long grants() {
    return grants;
  }

  long refusals() {
    return refusals;
  }

  /** Returns how many permits may be in use at once now. */
  int limit() {
    return (int) limit;
  }

  private static Rank rank(int priority) {
    return new Rank(priority, "priority " + priority, FLOOR_PERCENT, QUEUE_LIMIT);
  }

  private Rank rankOf(SlotPermitRequest permitRequest) {
    @Nullable Rank known = ranks.get(permitRequest.priority());
    if (known == null) {
      known = rank(permitRequest.priority());
      ranks.put(permitRequest.priority(), known);
      queue.setRanks(ranks.values());
    }
    return known;
  }

  /** Grants, queues or refuses a permit request. */
  public void ask(SlotPermitRequest permitRequest, long nowNanos) {
    Rank rank = rankOf(permitRequest);
    long deadline = nowNanos + permitRequest.maxWaitMillis() * NANOS_PER_MILLI;
    Admission admission = queue.offer(permitRequest, rank, deadline, nowNanos);
    if (admission instanceof Admission.Refused refused) {
      refusals++;
      permitRequest.refused(refused.retryAfterMillis());
      return;
    }
    waiting.add(permitRequest);
    serve(nowNanos);
    if (waiting.contains(permitRequest)) {
      requestsHadToWait = true;
      permitRequest.queued();
    }
  }

  /**
   * Releases a permit, or withdraws a request that waits.
   *
   * @param delayMillis recent delay of answers by the database's queue, as the host sees it
   */
  public void end(SlotPermitRequest permitRequest, long delayMillis, long nowNanos) {
    @Nullable Long started = grantedNanos.remove(permitRequest);
    if (started == null) {
      if (waiting.remove(permitRequest)) {
        queue.remove(permitRequest);
      }
      return;
    }
    queue.completed(rankOf(permitRequest), nowNanos - started, nowNanos);
    reportedDelaySumMillis += delayMillis;
    reports++;
    adjust(nowNanos);
    serve(nowNanos);
  }

  private void adjust(long nowNanos) {
    if (nowNanos - windowStartNanos < WINDOW_NANOS || reports < MIN_REPORTS) {
      return;
    }
    double delay = (double) reportedDelaySumMillis / reports;
    if (delay > HIGH_DELAY_MS) {
      limit = Math.max(slots, DECREASE_FACTOR * limit);
    } else if (delay < LOW_DELAY_MS && requestsHadToWait) {
      limit = Math.min(MAX_PERMITS_PER_SLOT * slots, limit + 1);
    }
    windowStartNanos = nowNanos;
    reportedDelaySumMillis = 0;
    reports = 0;
    requestsHadToWait = !waiting.isEmpty();
  }

  /** Refuses requests that waited too long and drops permits that were never released. */
  public void expire(long nowNanos) {
    grantedNanos
        .values()
        .removeIf(started -> nowNanos - started > PERMIT_EXPIRY_MS * NANOS_PER_MILLI);
    serve(nowNanos);
  }

  /** Returns whether no request waits and no permit is in use. */
  public boolean idle() {
    return grantedNanos.isEmpty() && waiting.isEmpty();
  }

  private void serve(long nowNanos) {
    List<SlotPermitRequest> granted = new ArrayList<>();
    while (grantedNanos.size() < limit()) {
      Optional<SlotPermitRequest> next = queue.poll(nowNanos);
      if (next.isEmpty()) {
        break;
      }
      grantedNanos.put(next.get(), nowNanos);
      granted.add(next.get());
    }
    List<SlotPermitRequest> expired = queue.expire(nowNanos);
    grants += granted.size();
    refusals += expired.size();
    granted.forEach(waiting::remove);
    expired.forEach(waiting::remove);
    granted.forEach(SlotPermitRequest::granted);
    expired.forEach(permitRequest -> permitRequest.refused(1));
  }
}
