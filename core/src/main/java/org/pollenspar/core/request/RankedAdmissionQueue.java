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
 * Serves the most urgent rank first and keeps each rank's floor.
 *
 * <p>When a slot is free, a waiting rank whose share of the service of the last second is below its
 * floor comes first, the largest deficit first; else the most urgent rank. Service is charged when
 * a request starts, by the smoothed service time of its rank. Strict order of ranks alone would
 * stop the lower ranks in a flood of a higher one; weights for all ranks would make urgent work
 * wait in a flood of any other. A rank has no claim to the floor of a time in which nothing of it
 * waited: with that claim, a sudden flood of lower ranks would stop urgent work for the sum of
 * their floors times one second.
 *
 * <p>A request whose expected wait exceeds its deadline is refused at once. The caller then learns
 * early that it should try again, and no slot is used for work that nobody waits for.
 *
 * @param <T> what waits
 */
final class RankedAdmissionQueue<T> implements AdmissionQueue<T> {
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double PERCENT = 100;

  /**
   * Safety on the expected wait, since service times vary. While a rank is overloaded, a shorter
   * queue serves just as many requests; without the margin a fifth of the accepted requests expired
   * in the queue or ended late.
   */
  private static final double WAIT_MARGIN = 1.25;

  /** Keeps the expected wait finite while more urgent ranks take everything. */
  private static final double MIN_SHARE = 0.01;

  /** The requests and the service of one rank. */
  private static final class RankQueue<T> {
    Rank rank;
    final FifoRequestQueue<T> waiting = new FifoRequestQueue<>();
    final ServiceTime serviceTime = new ServiceTime();
    final ServiceWindow served = new ServiceWindow();
    final ServiceWindow acceptedService = new ServiceWindow();

    /** Floor that the rank did not use because nothing waited. */
    final ServiceWindow unclaimed = new ServiceWindow();

    RankQueue(Rank rank) {
      this.rank = rank;
    }

    double floor() {
      return rank.floorPercent() / PERCENT;
    }

    /**
     * Returns the service time that a request must still have before its deadline; 0 if none of the
     * rank waits. A failure can raise the smoothed time above every deadline, and only a request
     * that runs lowers it again, so one is let through.
     */
    double requiredNanos() {
      return waiting.length() == 0 ? 0 : serviceTime.nanos();
    }

    double queuedNanos() {
      return waiting.length() * serviceTime.nanos();
    }
  }

  /** The most urgent first. */
  private List<RankQueue<T>> queues;

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
   * Returns the wait of one more request of a rank: the queued work of its own and more urgent
   * ranks, served by what is left after the floors of waiting lower ranks and after the more urgent
   * work that keeps arriving at the rate of the last second; or its own queue served by its own
   * floor, if that is sooner.
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

  /** Returns the lane of a rank; of a rank not declared, that of the next less urgent one. */
  private RankQueue<T> queueOf(Rank rank) {
    return queues.stream()
        .filter(queue -> queue.rank.level() >= rank.level())
        .findFirst()
        .orElseGet(() -> queues.get(queues.size() - 1));
  }
}
