package org.pollenspar.core.request;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * Simulates open-loop load on one admission queue in virtual time: Poisson arrivals per rank, a
 * fixed number of connections and exponential service times. Of the requests of rank 3, 5 % are
 * long reports.
 */
final class AdmissionPolicySimulation {
  static final String HEADER =
      "policy,flood,load,rank,offered,done_in_deadline,refused,expired,late,done_percent,"
          + "floor_percent,share_percent,wait_p50_ms,wait_p99_ms";
  static final List<Rank> RANKS =
      List.of(
          new Rank(1, "redemption", 10, 400),
          new Rank(2, "order", 15, 200),
          new Rank(3, "lookup", 10, 400));

  private static final double MILLI = 1e6;
  private static final double SECOND = 1e9;
  private static final int SLOTS = 15;
  private static final double MEAN_SERVICE_NANOS = 5 * MILLI;
  private static final double LONG_SERVICE_NANOS = 50 * MILLI;
  private static final long[] DEADLINES_NANOS = {
    (long) (800 * MILLI), (long) (2000 * MILLI), (long) (1000 * MILLI)
  };

  /** Offered load per rank as a fraction of the capacity, without the overload. */
  private static final double[] BASE_LOAD = {0.25, 0.20, 0.20};

  /** Requests that arrive in the first seconds are not counted, so that the queue can settle. */
  private static final double WARM_UP_SECONDS = 3;

  private static final long EXPIRE_INTERVAL_NANOS = (long) (10 * MILLI);

  private record Request(Rank rank, long arrival, long deadline, long service, boolean counted) {}

  private record Running(Request request, long end) {}

  /** Results of one rank; times are in nanoseconds. */
  static final class Tally {
    long offered;
    long done;
    long refused;
    long expired;
    long late;
    double busyNanos;
    private final List<Long> waits = new ArrayList<>();

    double donePercent() {
      return 100.0 * done / Math.max(1, offered);
    }

    double waitMillis(double quantile) {
      long[] sorted = waits.stream().mapToLong(Long::longValue).sorted().toArray();
      return sorted.length == 0 ? 0 : sorted[(int) (quantile * (sorted.length - 1))] / MILLI;
    }
  }

  private final AdmissionQueue<Request> queue;
  private final SplittableRandom random;
  private final double seconds;
  private final double[] arrivalsPerNano = new double[RANKS.size()];
  private final long[] nextArrival = new long[RANKS.size()];
  private final PriorityQueue<Running> running =
      new PriorityQueue<>((a, b) -> Long.compare(a.end, b.end));
  private final List<Tally> tallies = new ArrayList<>();

  /**
   * Creates one run.
   *
   * @param floodedLevel rank whose arrivals bring the whole load to {@code load} times the capacity
   */
  AdmissionPolicySimulation(
      Function<List<Rank>, AdmissionQueue<?>> policy,
      int floodedLevel,
      double load,
      double seconds,
      long seed) {
    @SuppressWarnings("unchecked")
    AdmissionQueue<Request> typed = (AdmissionQueue<Request>) policy.apply(RANKS);
    this.queue = typed;
    this.random = new SplittableRandom(seed);
    this.seconds = seconds;
    queue.setConcurrency(SLOTS);
    double base = Arrays.stream(BASE_LOAD).sum();
    for (int i = 0; i < RANKS.size(); i++) {
      double flood = i + 1 == floodedLevel ? load - base : 0;
      arrivalsPerNano[i] = (BASE_LOAD[i] + flood) * SLOTS / meanService(i);
      nextArrival[i] = exponential(1 / arrivalsPerNano[i]);
      tallies.add(new Tally());
    }
  }

  private static double meanService(int index) {
    return index == 2 ? 0.95 * MEAN_SERVICE_NANOS + 0.05 * LONG_SERVICE_NANOS : MEAN_SERVICE_NANOS;
  }

  private long exponential(double mean) {
    return Math.max(1, (long) (-mean * Math.log(1 - random.nextDouble())));
  }

  List<Tally> run() {
    long end = (long) ((WARM_UP_SECONDS + seconds) * SECOND);
    long nextExpire = EXPIRE_INTERVAL_NANOS;
    for (long now = 0; now < end; ) {
      int rank = earliestArrival();
      long ending = running.isEmpty() ? Long.MAX_VALUE : running.peek().end;
      now = Math.min(Math.min(nextArrival[rank], ending), nextExpire);
      if (now == nextExpire) {
        queue.expire(now).stream().filter(Request::counted).forEach(r -> tally(r).expired++);
        nextExpire += EXPIRE_INTERVAL_NANOS;
      } else if (now == ending) {
        complete(running.remove(), now);
      } else {
        arrive(rank, now);
      }
      while (running.size() < SLOTS && start(now)) {
        continue;
      }
    }
    return tallies;
  }

  private int earliestArrival() {
    int earliest = 0;
    for (int i = 1; i < nextArrival.length; i++) {
      earliest = nextArrival[i] < nextArrival[earliest] ? i : earliest;
    }
    return earliest;
  }

  private void arrive(int index, long now) {
    nextArrival[index] = now + exponential(1 / arrivalsPerNano[index]);
    boolean isLong = index == 2 && random.nextDouble() < 0.05;
    long service = exponential(isLong ? LONG_SERVICE_NANOS : MEAN_SERVICE_NANOS);
    boolean counted =
        now >= WARM_UP_SECONDS * SECOND
            && now < (WARM_UP_SECONDS + seconds) * SECOND - DEADLINES_NANOS[index];
    long deadline = now + DEADLINES_NANOS[index];
    Request request = new Request(RANKS.get(index), now, deadline, service, counted);
    Admission admission = queue.offer(request, request.rank, deadline, now);
    if (counted) {
      tally(request).offered++;
      tally(request).refused += admission instanceof Admission.Refused ? 1 : 0;
    }
  }

  private boolean start(long now) {
    return queue
        .poll(now)
        .map(
            request -> {
              if (request.counted) {
                tally(request).waits.add(now - request.arrival);
              }
              return running.add(new Running(request, now + request.service));
            })
        .orElse(false);
  }

  private void complete(Running ended, long now) {
    Request request = ended.request;
    queue.completed(request.rank, request.service, now);
    if (now >= WARM_UP_SECONDS * SECOND) {
      tally(request).busyNanos += request.service;
    }
    if (request.counted && now <= request.deadline) {
      tally(request).done++;
    } else if (request.counted) {
      tally(request).late++;
    }
  }

  private Tally tally(Request request) {
    return tallies.get(request.rank.level() - 1);
  }

  /** Returns the share of the connection time that a rank used, in percent. */
  double sharePercent(int index) {
    return 100 * tallies.get(index).busyNanos / (seconds * SECOND * SLOTS);
  }

  /** Returns one line per rank in the columns of {@link #HEADER}. */
  List<String> csv(String policy, String flood, double load) {
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < RANKS.size(); i++) {
      Tally t = tallies.get(i);
      lines.add(
          String.format(
              Locale.ROOT,
              "%s,%s,%.0f,%d,%d,%d,%d,%d,%d,%.3f,%d,%.2f,%.1f,%.1f",
              policy,
              flood,
              load,
              i + 1,
              t.offered,
              t.done,
              t.refused,
              t.expired,
              t.late,
              t.donePercent(),
              RANKS.get(i).floorPercent(),
              sharePercent(i),
              t.waitMillis(0.5),
              t.waitMillis(0.99)));
    }
    return lines;
  }
}
