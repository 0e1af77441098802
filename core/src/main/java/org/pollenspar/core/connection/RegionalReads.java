package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Regions;
import org.pollenspar.core.process.Regions.Distance;
import org.pollenspar.core.process.Rendezvous;

/**
 * Measures the databases of one group and places its reads with {@link ReadPlacement}. It exists
 * only if more than one region is configured.
 *
 * <p>A latency contains the shortest work of a statement. It is about the same at all databases of
 * a group, so the differences between latencies are those of the network.
 *
 * <p>All methods run on one thread.
 */
public final class RegionalReads {
  /** Latency of a database that has not answered yet, by its distance. */
  private static double assumedLatencyNanos(Distance distance) {
    return switch (distance) {
      case SAME_DOMAIN -> 2e6;
      case SAME_REGION -> 6e6;
      case OTHER_REGION -> 60e6;
    };
  }

  /** Work of a statement of a rank that no database has answered yet. */
  private static final double ASSUMED_WORK_NANOS = 20e6;

  /** Added to the primary's expected wait for reads, since writes need its slots. */
  private static final double PRIMARY_PENALTY_NANOS = 30e6;

  /** Round trips before the first statement on a new connection: one for TCP, one for the start. */
  private static final int CONNECTING_ROUND_TRIPS = 2;

  private final Regions regions;
  private final String ownDomain;
  private final ReadPlacement placement;
  private final Map<String, ResponseTimes> timesByDatabase = new HashMap<>();

  /** Creates the reads of one group on a host, without measurements. */
  public RegionalReads(Regions regions, String ownDomain, long seed) {
    this.regions = regions;
    this.ownDomain = ownDomain;
    this.placement = new ReadPlacement(new SplittableRandom(seed));
  }

  /** Returns the reads of a group on a host; null if there is only one region. */
  public static @Nullable RegionalReads of(Regions regions, Member host, String group) {
    return regions.several()
        ? new RegionalReads(regions, host.domain(), Rendezvous.weight(group, host.name()))
        : null;
  }

  /** Discards the measurements of a database that has left. */
  void forget(String database) {
    timesByDatabase.remove(database);
  }

  /** Records a complete answer that used a slot of the database. */
  void record(ConnectionPool pool, int priority, long tookNanos, long nowNanos) {
    timesByDatabase
        .computeIfAbsent(pool.entry().id(), id -> new ResponseTimes())
        .record(priority, tookNanos, nowNanos);
  }

  private Distance distance(ConnectionPool pool) {
    return regions.distance(ownDomain, pool.entry().domain());
  }

  /** Returns the region of a database; empty if it is unknown. */
  String region(ConnectionPool pool) {
    return regions.region(pool.entry().domain());
  }

  /** Returns the choice of the primary for a statement that no other database may answer. */
  ReadPlacement.Choice<ConnectionPool> atPrimary(ConnectionPool primary) {
    return new ReadPlacement.Choice<>(primary, distance(primary), ReadPlacement.Reason.PRIMARY);
  }

  /**
   * Returns where a read runs; null if there is no database.
   *
   * @param usable databases that may answer it
   * @param primary the one of them that is the primary; null if none is
   */
  ReadPlacement.@Nullable Choice<ConnectionPool> choose(
      Collection<ConnectionPool> usable,
      @Nullable ConnectionPool primary,
      int priority,
      String organisation,
      long remainingNanos,
      long nowNanos) {
    return placement.choose(
        candidates(
            usable, primary, priority, organisation, ConnectionPool::expectedNanos, nowNanos),
        remainingNanos);
  }

  /**
   * Returns the databases as the placement compares them.
   *
   * @param expected expected time of a request at a database
   */
  List<ReadPlacement.Candidate<ConnectionPool>> candidates(
      Collection<ConnectionPool> usable,
      @Nullable ConnectionPool primary,
      int priority,
      String organisation,
      ExpectedTime expected,
      long nowNanos) {
    double work = usualWorkNanos(priority);
    List<ReadPlacement.Candidate<ConnectionPool>> candidates = new ArrayList<>();
    for (ConnectionPool pool : usable) {
      @Nullable ResponseTimes times = timesByDatabase.get(pool.entry().id());
      Distance distance = distance(pool);
      double latency = latencyNanos(times, distance);
      double excess = times == null ? work : times.excessNanos(priority, work, nowNanos);
      double connecting = pool.connections() == 0 ? CONNECTING_ROUND_TRIPS * latency : 0;
      candidates.add(
          new ReadPlacement.Candidate<>(
              pool,
              distance,
              latency,
              excess
                  + (expected.nanos(pool, priority, organisation) - pool.meanUseNanos())
                  + connecting
                  + (pool == primary ? PRIMARY_PENALTY_NANOS : 0),
              times == null ? 0 : times.deviationNanos(priority, nowNanos)));
    }
    return candidates;
  }

  /** Returns at which of these databases reads run, without a random draw. */
  List<ReadPlacement.Share<ConnectionPool>> shares(
      List<ReadPlacement.Candidate<ConnectionPool>> candidates, long remainingNanos) {
    return placement.shares(candidates, remainingNanos);
  }

  private static double latencyNanos(@Nullable ResponseTimes times, Distance distance) {
    return times != null && times.known() ? times.latencyNanos() : assumedLatencyNanos(distance);
  }

  /**
   * Returns the work of a rank: the least time above the latency that a database of the group
   * shows, since that one has the shortest queue.
   */
  private double usualWorkNanos(int priority) {
    double least = Double.POSITIVE_INFINITY;
    for (ResponseTimes each : timesByDatabase.values()) {
      least = Math.min(least, each.smoothedExcessNanos(priority));
    }
    return Math.min(least, ASSUMED_WORK_NANOS);
  }
}
