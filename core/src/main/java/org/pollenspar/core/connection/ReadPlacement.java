package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.DoubleStream;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Regions.Distance;

/**
 * Decides at which database a read runs if the databases are in several regions.
 *
 * <p>The load that it answers: a region has one replica with few slots, and its callers ask for
 * more than these slots can do for some seconds, while the other databases are a round trip of 60
 * ms away. {@link GroupRouter} adds fixed penalties to the mean response time of each database and
 * takes the least. With 30 ms between regions, this has three faults. The mean is 20 ms until a
 * database has answered, so the first reads of each host go to the other region, where connecting
 * alone takes two round trips. The mean of a database that is avoided doesn't change, so reads go
 * on crossing between the regions after a queue has gone. And the least cost gives all reads of a
 * host to one database at a time.
 *
 * <p>Rules, from the nearest to the farthest database:
 *
 * <ol>
 *   <li>A database in the own failure domain is used while its wait exceeds that of the best one
 *       outside by less than the difference in latency. Beyond that, the part of the reads that
 *       leaves grows with the wait, so that hosts with the same view don't all leave at once.
 *   <li>Reads that leave are spread over the databases outside by their expected waits.
 *   <li>A database in another region is used only if none in the own region is expected to answer
 *       within half of what is left of the objective, and only if it is expected to be faster.
 *   <li>If none can at all, the least expected response time is chosen. Whether the read is refused
 *       is not decided here.
 * </ol>
 */
public final class ReadPlacement {
  /** Why a database was chosen. */
  public enum Reason {
    /** It is in the own failure domain, and no other is worth the way. */
    NEAREST,
    /** No database that may answer is nearer. */
    NONE_NEARER,
    /** The wait in the own failure domain is longer than the additional way. */
    SHORTER_WAIT,
    /** None in the own region can answer within the objective. */
    OBJECTIVE,
    /** None at all can answer within the objective. */
    LATE,
    /** Only the primary may answer. */
    PRIMARY
  }

  /**
   * A database that may answer the read.
   *
   * @param latencyNanos time of an answer without any wait
   * @param waitNanos expected wait for a connection and for a slot of the database, and the work
   * @param marginNanos deviation of the response time, which an answer in time must leave room for
   */
  record Candidate<T>(
      T database, Distance distance, double latencyNanos, double waitNanos, double marginNanos) {
    double responseNanos() {
      return latencyNanos + waitNanos;
    }

    boolean inOwnRegion() {
      return distance != Distance.OTHER_REGION;
    }

    boolean inOwnDomain() {
      return distance == Distance.SAME_DOMAIN;
    }
  }

  /** The chosen database. */
  record Choice<T>(T database, Distance distance, Reason reason) {}

  /** A choice and the part of the reads for which it is made, above 0 and up to 1. */
  record Share<T>(Choice<T> choice, double part) {}

  /**
   * The choice before the random draw.
   *
   * @param kept database of the reads that aren't spread; null if all are
   * @param spreadPart part of the reads that are spread
   * @param spread databases over which these are spread by their expected times
   */
  private record Plan<T>(
      @Nullable Choice<T> kept, double spreadPart, List<Candidate<T>> spread, Reason spreadReason) {
    static <T> Plan<T> keep(Choice<T> choice) {
      return new Plan<>(choice, 0, List.of(), choice.reason());
    }

    static <T> Plan<T> spread(List<Candidate<T>> candidates, Reason reason) {
      return new Plan<>(null, 1, candidates, reason);
    }
  }

  /**
   * Difference in latency below which the part of the reads that leaves no longer depends on it.
   */
  private static final double MIN_LATENCY_DIFFERENCE_NANOS = 5e6;

  /**
   * Added to the waits that are compared when reads are spread, so that small differences between
   * short waits, which are mostly chance, change little.
   */
  private static final double SPREAD_NANOS = 10e6;

  /**
   * Part of what is left of the objective within which the own region must be expected to answer.
   * Expected times are means of answers that were sent some time ago. With the whole rest, 89 % of
   * the reads of an overloaded region were in time in a simulation, and with half of it 99 %.
   */
  private static final double OWN_REGION_FRACTION = 0.5;

  private final RandomGenerator random;

  ReadPlacement(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns where the read runs; null if there is no candidate.
   *
   * @param remainingNanos what is left of the latency objective of the read
   */
  <T> @Nullable Choice<T> choose(Collection<Candidate<T>> candidates, double remainingNanos) {
    @Nullable Plan<T> plan = plan(candidates, remainingNanos);
    return plan == null ? null : draw(plan);
  }

  /**
   * Returns where reads run and which part of them, the largest part first; empty if there is no
   * candidate. Draws no random number.
   */
  <T> List<Share<T>> shares(Collection<Candidate<T>> candidates, double remainingNanos) {
    @Nullable Plan<T> plan = plan(candidates, remainingNanos);
    List<Share<T>> shares = new ArrayList<>();
    if (plan == null) {
      return shares;
    }
    double spreadPart = Math.min(1, plan.spreadPart());
    if (plan.kept() != null && spreadPart < 1) {
      shares.add(new Share<>(plan.kept(), 1 - spreadPart));
    }
    double[] weights = weights(plan.spread());
    double total = DoubleStream.of(weights).sum();
    for (int i = 0; i < weights.length && spreadPart > 0; i++) {
      Choice<T> choice = choice(plan.spread().get(i), plan.spreadReason());
      shares.add(new Share<>(choice, spreadPart * weights[i] / total));
    }
    shares.sort(Comparator.comparingDouble(share -> -share.part()));
    return shares;
  }

  private <T> Choice<T> draw(Plan<T> plan) {
    @Nullable Choice<T> kept = plan.kept();
    if (kept != null && !(plan.spreadPart() > 0 && random.nextDouble() < plan.spreadPart())) {
      return kept;
    }
    return choice(drawSpread(plan.spread()), plan.spreadReason());
  }

  private static <T> @Nullable Plan<T> plan(
      Collection<Candidate<T>> candidates, double remainingNanos) {
    List<Candidate<T>> own = candidates.stream().filter(Candidate::inOwnRegion).toList();
    List<Candidate<T>> early = answersWithin(own, OWN_REGION_FRACTION * remainingNanos);
    if (!early.isEmpty()) {
      return inOwnRegion(early, own);
    }
    List<Candidate<T>> inTime = answersWithin(own, remainingNanos);
    List<Candidate<T>> other = candidates.stream().filter(each -> !each.inOwnRegion()).toList();
    List<Candidate<T>> otherInTime = answersWithin(other, remainingNanos);
    if (!inTime.isEmpty() && leastNanos(inTime) <= leastNanos(otherInTime)) {
      return inOwnRegion(inTime, own);
    }
    if (!otherInTime.isEmpty()) {
      return Plan.spread(otherInTime, own.isEmpty() ? Reason.NONE_NEARER : Reason.OBJECTIVE);
    }
    return candidates.stream()
        .min(Comparator.comparingDouble(Candidate::responseNanos))
        .map(best -> Plan.keep(choice(best, Reason.LATE)))
        .orElse(null);
  }

  private static <T> List<Candidate<T>> answersWithin(List<Candidate<T>> candidates, double nanos) {
    return candidates.stream()
        .filter(each -> each.responseNanos() + each.marginNanos() <= nanos)
        .toList();
  }

  /** Returns the least expected response time; infinite without candidates. */
  private static <T> double leastNanos(List<Candidate<T>> candidates) {
    return candidates.stream()
        .mapToDouble(Candidate::responseNanos)
        .min()
        .orElse(Double.POSITIVE_INFINITY);
  }

  /**
   * Returns the plan for databases of the own region.
   *
   * @param candidates those that are expected to answer in time
   * @param all those that may answer
   */
  private static <T> Plan<T> inOwnRegion(List<Candidate<T>> candidates, List<Candidate<T>> all) {
    List<Candidate<T>> outside = new ArrayList<>();
    @Nullable Candidate<T> local = null;
    @Nullable Candidate<T> bestOutside = null;
    for (Candidate<T> each : candidates) {
      if (each.inOwnDomain()) {
        local = better(local, each);
      } else {
        outside.add(each);
        bestOutside = better(bestOutside, each);
      }
    }
    if (local == null) {
      boolean ownDomain = all.stream().anyMatch(Candidate::inOwnDomain);
      return Plan.spread(outside, ownDomain ? Reason.SHORTER_WAIT : Reason.NONE_NEARER);
    }
    double leaving = bestOutside == null ? 0 : leavingPart(local, bestOutside);
    return new Plan<>(choice(local, Reason.NEAREST), leaving, outside, Reason.SHORTER_WAIT);
  }

  /** Returns the part of the reads that leaves the own domain; above 1 if all do. */
  private static double leavingPart(Candidate<?> local, Candidate<?> outside) {
    double gain = local.responseNanos() - outside.responseNanos();
    double difference = outside.latencyNanos() - local.latencyNanos();
    return Math.max(0, gain) / Math.max(MIN_LATENCY_DIFFERENCE_NANOS, difference);
  }

  private static <T> Candidate<T> better(@Nullable Candidate<T> known, Candidate<T> other) {
    return known == null || other.responseNanos() < known.responseNanos() ? other : known;
  }

  /** Chooses one at random, the more probably the shorter its expected response time is. */
  private <T> Candidate<T> drawSpread(List<Candidate<T>> candidates) {
    double[] weights = weights(candidates);
    double total = 0;
    for (double weight : weights) {
      total += weight;
    }
    double left = random.nextDouble() * total;
    int index = 0;
    while (index < weights.length - 1 && left >= weights[index]) {
      left -= weights[index];
      index++;
    }
    return candidates.get(index);
  }

  private static <T> double[] weights(List<Candidate<T>> candidates) {
    double least = leastNanos(candidates) - SPREAD_NANOS;
    return candidates.stream()
        .mapToDouble(each -> Math.pow(each.responseNanos() - least, -2))
        .toArray();
  }

  private static <T> Choice<T> choice(Candidate<T> candidate, Reason reason) {
    return new Choice<>(candidate.database(), candidate.distance(), reason);
  }
}
