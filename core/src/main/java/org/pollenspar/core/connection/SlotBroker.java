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
 * The order of work at one overloaded database, for all hosts.
 *
 * <p>Load it answers: replicas fall behind or a flood arrives, and more work reaches a database
 * than its slots can do. The database serves in order of arrival, so whatever the hosts send ahead
 * of its slots delays urgent work. Each host alone can only slow its lower ranks by what it sees,
 * and together they swing between a full queue and idle slots. One broker, asked by all, lets just
 * as many requests start as keep the slots busy and holds the rest in one queue by rank, where a
 * request that can't start in time is refused at once.
 *
 * <p>A permit is also held while a request travels and its connection is prepared, which uses no
 * slot. So the number of permits follows what the hosts report of the database's queue: it grows
 * while requests wait here and the database has no queue, and shrinks while it has one.
 *
 * <p>Invariant: no more permits are out than the limit when the last was granted, unless some were
 * never given back; those lapse. A permit is no promise on which correctness rests: work that
 * starts without one is only out of order.
 */
public final class SlotBroker {
  /** Permits beyond the slots before anything was reported. */
  private static final int INITIAL_EXTRA_PERMITS = 1;

  /** Most permits for each slot. */
  private static final int MAX_PERMITS_PER_SLOT = 2;

  /** Delay of answers by the database's queue below which more permits are given. */
  private static final long LOW_DELAY_MS = 15;

  /** Delay above which fewer permits are given. */
  private static final long HIGH_DELAY_MS = 30;

  private static final double DECREASE_FACTOR = 0.85;
  private static final long WINDOW_NANOS = 100_000_000;

  /** Reports in a window from which its mean says something. */
  private static final int MIN_REPORTS = 3;

  /** After this time a permit counts as given back; statements have shorter limits. */
  static final long PERMIT_EXPIRY_MS = 2_500;

  /** Part of the slots that a rank keeps while a more urgent one could use all, in percent. */
  private static final int FLOOR_PERCENT = 10;

  private static final int QUEUE_LIMIT = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Map<Integer, Rank> ranks = new TreeMap<>();
  private final AdmissionQueue<SlotPermitRequest> queue = AdmissionQueue.ranked(List.of(rank(0)));
  private final Set<SlotPermitRequest> waiting = new HashSet<>();
  private final Map<SlotPermitRequest, Long> grantedNanos = new HashMap<>();
  private int slots;
  private double limit;
  private boolean waited;
  private long windowStartNanos;
  private long delaySumMillis;
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

  /** Returns how many permit requests were granted so far. */
  long grants() {
    return grants;
  }

  /** Returns how many permit requests were refused so far. */
  long refusals() {
    return refusals;
  }

  /** Returns how many permits may be out now. */
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

  /** Grants, queues or refuses a permitRequest. */
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
      waited = true;
      permitRequest.queued();
    }
  }

  /**
   * Gives a permitRequest back, or withdraws it.
   *
   * @param delayMillis by how much the host lately saw answers delayed by the database's queue
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
    delaySumMillis += delayMillis;
    reports++;
    adjust(nowNanos);
    serve(nowNanos);
  }

  private void adjust(long nowNanos) {
    if (nowNanos - windowStartNanos < WINDOW_NANOS || reports < MIN_REPORTS) {
      return;
    }
    double delay = (double) delaySumMillis / reports;
    if (delay > HIGH_DELAY_MS) {
      limit = Math.max(slots, DECREASE_FACTOR * limit);
    } else if (delay < LOW_DELAY_MS && waited) {
      limit = Math.min(MAX_PERMITS_PER_SLOT * slots, limit + 1);
    }
    windowStartNanos = nowNanos;
    delaySumMillis = 0;
    reports = 0;
    waited = !waiting.isEmpty();
  }

  /** Refuses what waited too long and forgets permits that were never given back. */
  public void expire(long nowNanos) {
    grantedNanos
        .values()
        .removeIf(started -> nowNanos - started > PERMIT_EXPIRY_MS * NANOS_PER_MILLI);
    serve(nowNanos);
  }

  /** Returns whether nothing waits and no permit is out. */
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
