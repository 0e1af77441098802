package org.pollenspar.core.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ErrorKind;

/**
 * Strict priority by rank, with a guaranteed minimum share (the floor) for each rank.
 *
 * <p><b>State.</b> Each rank has a FIFO queue, a smoothed service time, and three sums over a
 * sliding window of one second, all in nanoseconds of connection time: the service charged to the
 * rank, the service of the requests accepted, and the part of the floor that the rank gave up.
 * Service is charged when a request starts, by the smoothed service time of its rank.
 *
 * <p><b>Choice.</b> When a connection is free, a waiting rank whose share of the service of the
 * last second is below its floor comes first, the one with the largest deficit before the others.
 * If no rank has a deficit, the most urgent waiting rank is served. Strict priority alone would
 * starve the lower ranks while a higher one is overloaded; weighted shares for all ranks would make
 * urgent work wait whenever any other rank is overloaded.
 *
 * <p>A rank has no claim to its floor for the time in which none of its requests waited, so that
 * time is written off when its queue fills again. Otherwise a sudden burst of lower ranks could
 * block urgent work for up to the sum of their floors times one second.
 *
 * <p><b>Admission.</b> A request is refused at once if its expected wait and its service time do
 * not fit before its deadline. The caller then learns early when to retry, and no connection is
 * spent on work whose caller has given up.
 *
 * <p>The sums are estimates: the charge is returned when a request is put back, but it is not
 * corrected by the time that the request really takes.
 *
 * @param <T> type of the queued requests
 */
final class RankedAdmissionQueue<T> implements AdmissionQueue<T> {
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double PERCENT = 100;

  /**
   * Safety factor for the expected wait, since service times vary. Without it, a fifth of the
   * accepted requests of an overloaded rank expire in the queue or end late. The shorter queue that
   * results serves just as many requests while the rank is overloaded.
   */
  private static final double WAIT_MARGIN = 1.25;

  /** Keeps the expected wait finite while more urgent ranks use the whole capacity. */
  private static final double MIN_SHARE = 0.01;

  /** The queue and the service statistics of one rank. */
  private static final class RankQueue<T> {
    Rank rank;
    final FifoRequestQueue<T> waiting = new FifoRequestQueue<>();
    final ServiceTime serviceTime = new ServiceTime();

    /** Service charged to the rank. */
    final ServiceWindow served = new ServiceWindow();

    /** Expected service of the requests that were accepted. */
    final ServiceWindow acceptedService = new ServiceWindow();

    /** Part of the floor that is written off because no request of the rank waited. */
    final ServiceWindow unclaimed = new ServiceWindow();

    RankQueue(Rank rank) {
      this.rank = rank;
    }

    double floor() {
      return rank.floorPercent() / PERCENT;
    }

    /**
     * Returns the time that a new request must have left after its wait; 0 if no request of the
     * rank waits. A failure can raise the smoothed service time above every deadline. Only a
     * request that runs can lower it again, so one request is always admitted.
     */
    double requiredNanos() {
      return waiting.length() == 0 ? 0 : serviceTime.nanos();
    }

    double queuedNanos() {
      return waiting.length() * serviceTime.nanos();
    }
  }

  /** One queue per rank, ordered from the most urgent to the least urgent. */
  private List<RankQueue<T>> queues;

  /** Requests that {@link #poll} dropped; {@link #expire} or {@link #drain} returns them. */
  private final List<T> expired = new ArrayList<>();

  private int concurrency = 1;

  RankedAdmissionQueue(Collection<Rank> ranks) {
    this.queues = createQueues(ranks);
  }

  private static <T> List<RankQueue<T>> createQueues(Collection<Rank> ranks) {
    return ranks.stream()
        .sorted(Comparator.comparingInt(Rank::level))
        .map(RankQueue<T>::new)
        .toList();
  }

  @Override
  public void setRanks(Collection<Rank> ranks) {
    Map<Integer, RankQueue<T>> old = new TreeMap<>();
    queues.forEach(queue -> old.put(queue.rank.level(), queue));
    List<RankQueue<T>> next = new ArrayList<>();
    for (RankQueue<T> created : RankedAdmissionQueue.<T>createQueues(ranks)) {
      RankQueue<T> existing = old.remove(created.rank.level());
      if (existing != null) {
        existing.rank = created.rank;
      }
      next.add(existing != null ? existing : created);
    }
    queues = List.copyOf(next);
    old.values().forEach(queue -> queueOf(queue.rank).waiting.append(queue.waiting));
  }

  @Override
  public Admission offer(T item, Rank rank, long deadlineNanos, long nowNanos) {
    RankQueue<T> queue = queueOf(rank);
    double waitNanos = expectedWaitNanos(queue, nowNanos);
    if (queue.waiting.length() >= queue.rank.queueLimit()) {
      return refused(ErrorKind.QUEUE_FULL, waitNanos, waitNanos);
    }
    double excessNanos =
        WAIT_MARGIN * waitNanos + queue.requiredNanos() - (deadlineNanos - nowNanos);
    if (excessNanos > 0) {
      return refused(ErrorKind.DEADLINE_UNREACHABLE, waitNanos, excessNanos);
    }
    if (queue.waiting.length() == 0) {
      List<ServiceWindow> all = queues.stream().map(each -> each.served).toList();
      queue.unclaimed.raiseToShortfall(queue.floor(), queue.served, all, nowNanos);
    }
    queue.waiting.addLast(item, rank, deadlineNanos);
    queue.acceptedService.add(queue.serviceTime.nanos(), nowNanos);
    return new Admission.Accepted();
  }

  private static Admission.Refused refused(ErrorKind kind, double waitNanos, double retryNanos) {
    return new Admission.Refused(
        kind,
        (long) Math.ceil(waitNanos / NANOS_PER_MILLI),
        Math.max(1, (long) Math.ceil(retryNanos / NANOS_PER_MILLI)));
  }

  /**
   * Returns how long one more request of a rank is expected to wait, as the smaller of two
   * estimates:
   *
   * <ul>
   *   <li>The queued work of its own and more urgent ranks is served with the capacity that remains
   *       after the floors of the less urgent ranks that wait, and after the more urgent work that
   *       keeps arriving at the rate of the last second.
   *   <li>Its own queue is served with the floor of its rank.
   * </ul>
   */
  private double expectedWaitNanos(RankQueue<T> queue, long nowNanos) {
    double aheadNanos = 0;
    double takenShare = 0;
    for (RankQueue<T> other : queues) {
      if (other.rank.level() <= queue.rank.level()) {
        aheadNanos += other.queuedNanos();
      } else if (other.waiting.length() > 0) {
        takenShare += other.floor();
      }
      if (other.rank.level() < queue.rank.level()) {
        takenShare +=
            other.acceptedService.sum(nowNanos) / ServiceWindow.LENGTH_NANOS / concurrency;
      }
    }
    double waitByRank = aheadNanos / Math.max(MIN_SHARE, 1 - takenShare) / concurrency;
    if (queue.floor() == 0) {
      return waitByRank;
    }
    return Math.min(waitByRank, queue.queuedNanos() / queue.floor() / concurrency);
  }

  @Override
  public void putBack(T item, Rank rank, long deadlineNanos, long nowNanos) {
    RankQueue<T> queue = queueOf(rank);
    queue.waiting.addFirst(item, rank, deadlineNanos);
    queue.served.add(-queue.serviceTime.nanos(), nowNanos);
  }

  @Override
  public Optional<T> poll(long nowNanos) {
    queues.forEach(
        queue -> queue.waiting.dropUnservable(nowNanos, (long) queue.serviceTime.nanos(), expired));
    @Nullable RankQueue<T> next = next(nowNanos);
    if (next == null) {
      return Optional.empty();
    }
    next.served.add(next.serviceTime.nanos(), nowNanos);
    return next.waiting.removeFirst().map(FifoRequestQueue.Entry::item);
  }

  private @Nullable RankQueue<T> next(long nowNanos) {
    double totalNanos = queues.stream().mapToDouble(queue -> queue.served.sum(nowNanos)).sum();
    @Nullable RankQueue<T> chosen = null;
    double largestDeficitNanos = 0;
    for (RankQueue<T> queue : queues) {
      if (queue.waiting.length() == 0) {
        continue;
      }
      double accountedNanos = queue.served.sum(nowNanos) + queue.unclaimed.sum(nowNanos);
      double deficitNanos = queue.floor() * totalNanos - accountedNanos;
      if (chosen == null || deficitNanos > largestDeficitNanos) {
        chosen = queue;
        largestDeficitNanos = Math.max(0, deficitNanos);
      }
    }
    return chosen;
  }

  @Override
  public List<T> expire(long nowNanos) {
    queues.forEach(queue -> queue.waiting.expire(nowNanos, expired));
    List<T> result = List.copyOf(expired);
    expired.clear();
    return result;
  }

  @Override
  public boolean remove(T item) {
    return queues.stream().anyMatch(queue -> queue.waiting.remove(item));
  }

  @Override
  public void completed(Rank rank, long serviceNanos, long nowNanos) {
    queueOf(rank).serviceTime.add(serviceNanos);
  }

  @Override
  public void setConcurrency(int newConcurrency) {
    concurrency = Math.max(1, newConcurrency);
  }

  @Override
  public List<T> drain() {
    List<T> result = new ArrayList<>(expired);
    expired.clear();
    queues.forEach(queue -> queue.waiting.drainTo(result));
    return result;
  }

  @Override
  public int length() {
    return queues.stream().mapToInt(queue -> queue.waiting.length()).sum();
  }

  @Override
  public int length(Rank rank) {
    return queueOf(rank).waiting.length();
  }

  /**
   * Returns the queue of a rank. For a rank that is not declared, returns the queue of the next
   * less urgent rank, or the last queue if there is none.
   */
  private RankQueue<T> queueOf(Rank rank) {
    return queues.stream()
        .filter(queue -> queue.rank.level() >= rank.level())
        .findFirst()
        .orElseGet(() -> queues.get(queues.size() - 1));
  }
}
