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
  private static final double LEAST_SHARE = 0.01;

  /** The requests and the service of one rank. */
  private static final class Lane<T> {
    Rank rank;
    final FifoRequestQueue<T> line = new FifoRequestQueue<>();
    final ServiceTime service = new ServiceTime();
    final ServiceWindow window = new ServiceWindow();
    final ServiceWindow accepted = new ServiceWindow();

    /** Floor that the rank did not use because nothing waited. */
    final ServiceWindow unused = new ServiceWindow();

    Lane(Rank rank) {
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
    double neededNanos() {
      return line.length() == 0 ? 0 : service.nanos();
    }

    double queuedNanos() {
      return line.length() * service.nanos();
    }
  }

  /** The most urgent first. */
  private List<Lane<T>> lanes;

  private final List<T> expired = new ArrayList<>();
  private int concurrency = 1;

  RankedAdmissionQueue(Collection<Rank> ranks) {
    this.lanes = lanes(ranks);
  }

  private static <T> List<Lane<T>> lanes(Collection<Rank> ranks) {
    return ranks.stream().sorted(Comparator.comparingInt(Rank::level)).map(Lane<T>::new).toList();
  }

  @Override
  public void setRanks(Collection<Rank> ranks) {
    Map<Integer, Lane<T>> old = new TreeMap<>();
    lanes.forEach(lane -> old.put(lane.rank.level(), lane));
    List<Lane<T>> next = new ArrayList<>();
    for (Lane<T> fresh : RankedAdmissionQueue.<T>lanes(ranks)) {
      Lane<T> kept = old.remove(fresh.rank.level());
      if (kept != null) {
        kept.rank = fresh.rank;
      }
      next.add(kept != null ? kept : fresh);
    }
    lanes = List.copyOf(next);
    old.values().forEach(lane -> lane(lane.rank).line.append(lane.line));
  }

  @Override
  public Admission offer(T item, Rank rank, long deadlineNanos, long nowNanos) {
    Lane<T> lane = lane(rank);
    double wait = expectedWaitNanos(lane, nowNanos);
    if (lane.line.length() >= lane.rank.queueLimit()) {
      return refused(ErrorKind.QUEUE_FULL, wait, wait);
    }
    double excess = WAIT_MARGIN * wait + lane.neededNanos() - (deadlineNanos - nowNanos);
    if (excess > 0) {
      return refused(ErrorKind.DEADLINE_UNREACHABLE, wait, excess);
    }
    if (lane.line.length() == 0) {
      List<ServiceWindow> all = lanes.stream().map(each -> each.window).toList();
      lane.unused.raiseTo(lane.floor(), lane.window, all, nowNanos);
    }
    lane.line.addLast(item, rank, deadlineNanos);
    lane.accepted.add(lane.service.nanos(), nowNanos);
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
  private double expectedWaitNanos(Lane<T> lane, long nowNanos) {
    double ahead = 0;
    double taken = 0;
    for (Lane<T> other : lanes) {
      if (other.rank.level() <= lane.rank.level()) {
        ahead += other.queuedNanos();
      } else if (other.line.length() > 0) {
        taken += other.floor();
      }
      if (other.rank.level() < lane.rank.level()) {
        taken += other.accepted.sum(nowNanos) / ServiceWindow.NANOS / concurrency;
      }
    }
    double byRank = ahead / Math.max(LEAST_SHARE, 1 - taken) / concurrency;
    if (lane.floor() == 0) {
      return byRank;
    }
    return Math.min(byRank, lane.queuedNanos() / lane.floor() / concurrency);
  }

  @Override
  public void putBack(T item, Rank rank, long deadlineNanos, long nowNanos) {
    Lane<T> lane = lane(rank);
    lane.line.addFirst(item, rank, deadlineNanos);
    lane.window.add(-lane.service.nanos(), nowNanos);
  }

  @Override
  public Optional<T> poll(long nowNanos) {
    lanes.forEach(lane -> lane.line.trim(nowNanos, (long) lane.service.nanos(), expired));
    @Nullable Lane<T> next = next(nowNanos);
    if (next == null) {
      return Optional.empty();
    }
    next.window.add(next.service.nanos(), nowNanos);
    return next.line.removeFirst().map(FifoRequestQueue.Entry::item);
  }

  private @Nullable Lane<T> next(long nowNanos) {
    double total = lanes.stream().mapToDouble(lane -> lane.window.sum(nowNanos)).sum();
    @Nullable Lane<T> chosen = null;
    double largestDeficit = 0;
    for (Lane<T> lane : lanes) {
      if (lane.line.length() == 0) {
        continue;
      }
      double had = lane.window.sum(nowNanos) + lane.unused.sum(nowNanos);
      double deficit = lane.floor() * total - had;
      if (chosen == null || deficit > largestDeficit) {
        chosen = lane;
        largestDeficit = Math.max(0, deficit);
      }
    }
    return chosen;
  }

  @Override
  public List<T> expire(long nowNanos) {
    lanes.forEach(lane -> lane.line.expire(nowNanos, expired));
    List<T> result = List.copyOf(expired);
    expired.clear();
    return result;
  }

  @Override
  public boolean remove(T item) {
    return lanes.stream().anyMatch(lane -> lane.line.remove(item));
  }

  @Override
  public void completed(Rank rank, long serviceNanos, long nowNanos) {
    lane(rank).service.add(serviceNanos);
  }

  @Override
  public void setConcurrency(int newConcurrency) {
    concurrency = Math.max(1, newConcurrency);
  }

  @Override
  public List<T> drain() {
    List<T> result = new ArrayList<>(expired);
    expired.clear();
    lanes.forEach(lane -> lane.line.drainTo(result));
    return result;
  }

  @Override
  public int length() {
    return lanes.stream().mapToInt(lane -> lane.line.length()).sum();
  }

  @Override
  public int length(Rank rank) {
    return lane(rank).line.length();
  }

  /** Returns the lane of a rank; of a rank not declared, that of the next less urgent one. */
  private Lane<T> lane(Rank rank) {
    return lanes.stream()
        .filter(lane -> lane.rank.level() >= rank.level())
        .findFirst()
        .orElseGet(() -> lanes.get(lanes.size() - 1));
  }
}
