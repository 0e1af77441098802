package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ClockReading;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.ControlListener;
import org.pollenspar.core.process.PrimaryAuthority;
import org.pollenspar.core.process.PrimaryRecord;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;

/**
 * Chooses the database of a group for each statement and tracks the positions of the group's log.
 *
 * <p>Writes and reads that must be current go to the primary. A read that may be stale goes to the
 * database with the least expected response time; a penalty on the primary keeps a large number of
 * such reads from taking its few execution slots from writes.
 *
 * <p>A read on a replica carries the position that the log of the replica must include: the oldest
 * sample of the {@link PositionHistory} that is recent enough for the staleness bound, and the last
 * commit of the session if the route demands it. The database itself checks this condition, so a
 * replica that is behind costs a round trip and never causes a stale answer.
 *
 * <p>All methods run on one thread.
 */
public final class GroupRouter {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Part of a staleness bound reserved for the network and the queue of the database. */
  private static final long STALENESS_RESERVE_MS = 400;

  /** Added to the expected response time of a database in another failure domain. */
  private static final double REMOTE_PENALTY_NANOS = 6e6;

  /** Added to the primary's expected response time for reads, since writes need its slots. */
  private static final double PRIMARY_PENALTY_NANOS = 30e6;

  /**
   * Where a statement runs.
   *
   * @param requiredPosition position that the log of a replica must include; null at the primary
   * @param placement why the statement runs there; null with one region
   */
  record StatementTarget(
      ConnectionPool pool,
      @Nullable Position requiredPosition,
      boolean primary,
      ReadPlacement.@Nullable Choice<ConnectionPool> placement) {}

  private final String group;
  private final String ownDomain;
  private final PrimaryAuthority authority;
  private final PhysicalConnection.Opener opener;
  private final SlotPermits permits;
  private final Clocks clocks;
  private final Timers timers;
  private final Map<String, ConnectionPool> pools = new HashMap<>();
  private final ConnectionPoolCounts counts = new ConnectionPoolCounts();
  private final PositionHistory positions = new PositionHistory();
  private final @Nullable RegionalReads regionalReads;
  private final ReadOutliers outliers;
  private final AttemptLimit attemptLimit;
  private int share = 1;

  /** Creates a router without databases, for one region. */
  public GroupRouter(
      String group,
      String ownDomain,
      PrimaryAuthority authority,
      PhysicalConnection.Opener opener,
      SlotPermits permits,
      Clocks clocks,
      Timers timers) {
    this(
        group,
        ownDomain,
        authority,
        opener,
        permits,
        clocks,
        timers,
        null,
        (event, subject, detail) -> {});
  }

  /**
   * Creates a router without databases.
   *
   * @param regionalReads places reads in several regions; null for one region
   * @param events receives an event when reads begin or cease to avoid a database
   */
  public GroupRouter(
      String group,
      String ownDomain,
      PrimaryAuthority authority,
      PhysicalConnection.Opener opener,
      SlotPermits permits,
      Clocks clocks,
      Timers timers,
      @Nullable RegionalReads regionalReads,
      ControlListener events) {
    this.regionalReads = regionalReads;
    this.outliers = new ReadOutliers(group, clocks, timers, events);
    this.attemptLimit = new AttemptLimit(clocks);
    this.group = group;
    this.ownDomain = ownDomain;
    this.authority = authority;
    this.opener = opener;
    this.permits = permits;
    this.clocks = clocks;
    this.timers = timers;
  }

  public String group() {
    return group;
  }

  public PrimaryAuthority authority() {
    return authority;
  }

  /** Replaces the set of databases by those that are registered now. */
  public void databases(Collection<DatabaseEntry> entries) {
    Set<String> gone = new HashSet<>(pools.keySet());
    for (DatabaseEntry entry : entries) {
      gone.remove(entry.id());
      @Nullable ConnectionPool pool = pools.get(entry.id());
      if (pool != null) {
        pool.update(entry);
      } else {
        ConnectionPool added = new ConnectionPool(entry, opener, permits, counts, clocks, timers);
        added.share(share);
        pools.put(entry.id(), added);
      }
    }
    for (String id : gone) {
      @Nullable ConnectionPool pool = pools.remove(id);
      if (regionalReads != null) {
        regionalReads.forget(id);
      }
      outliers.forget(id);
      attemptLimit.forget(id);
      if (pool != null) {
        pool.retire();
      }
    }
  }

  /** Sets how many connections this host may hold to each database. */
  public void share(int connections) {
    share = connections;
    pools.values().forEach(pool -> pool.share(connections));
  }

  /** Returns what all pools of the group have counted since the start. */
  public ConnectionPoolCounts counts() {
    return counts;
  }

  /** Returns how often reads of this host began to avoid a database since the start. */
  public long ejections() {
    return outliers.ejections();
  }

  /** Returns the number of databases that reads of this host avoid now. */
  public int ejectedNow() {
    return outliers.ejectedNow();
  }

  /** Returns the number of reads that the limit of an attempt moved to another database. */
  public long readsMoved() {
    return attemptLimit.ended();
  }

  /** Returns the pools of all databases. */
  public Collection<ConnectionPool> pools() {
    return pools.values();
  }

  /** Returns the pool of a database; null if it isn't registered. */
  public @Nullable ConnectionPool pool(String database) {
    return pools.get(database);
  }

  /** Returns the pool of the database that may be used as the primary; null if there is none. */
  public @Nullable ConnectionPool primary() {
    @Nullable String id = authority.primary(group);
    return id == null ? null : pools.get(id);
  }

  /** Returns the term of the primary that may be used; -1 if there is none. */
  public long term() {
    @Nullable PrimaryRecord record = authority.record(group);
    return record == null ? -1 : record.term();
  }

  /**
   * Refuses the requests that wait for the primary if it is being replaced.
   *
   * <p>The log positions that are known stay in use: each covers all writes that were acknowledged
   * before its sample, whichever database leads later. So replicas answer reads that may be stale
   * during the change, until the samples are older than the reads permit.
   */
  public void primaryChanged() {
    @Nullable PrimaryRecord record = authority.record(group);
    if (record == null) {
      return;
    }
    if (record.changing()) {
      @Nullable ConnectionPool pool = pools.get(record.database());
      if (pool != null) {
        pool.refuseWaiting("being replaced as primary");
      }
    }
  }

  /**
   * Returns the earliest position that the log of a database must include to answer a read that may
   * be stale; null if no sample is recent enough. It covers the last commit of the session in this
   * group if the route is {@link RouteKind#READ_YOUR_WRITES}.
   */
  public @Nullable Position requiredPosition(Route route, @Nullable Position lastCommitPosition) {
    long bound = (route.maxStalenessMillis() - STALENESS_RESERVE_MS) * NANOS_PER_MILLI;
    @Nullable Position covering = positions.covering(ClockReading.now(clocks), bound);
    if (covering == null
        || lastCommitPosition == null
        || route.kind() != RouteKind.READ_YOUR_WRITES) {
      return covering;
    }
    // A log that includes the covering position also includes a last commit of an older term, or
    // that commit was rolled back. One of a newer term isn't included, so it is required itself.
    return covering.max(lastCommitPosition);
  }

  /**
   * Returns where a read should run now; null if no database can answer it.
   *
   * @param remainingNanos what is left of the latency objective of the read
   */
  @Nullable StatementTarget readTarget(
      Route route,
      String organisation,
      @Nullable Position lastCommitPosition,
      Set<ConnectionPool> excluded,
      long remainingNanos) {
    if (route.kind() == RouteKind.PRIMARY) {
      return primaryTarget();
    }
    ReadCandidates candidates = readCandidates(route, lastCommitPosition, excluded);
    candidates = candidates.among(outliers.preferred(candidates.usable(), pools.values()));
    if (regionalReads == null) {
      @Nullable ConnectionPool least =
          leastCost(candidates, route.priority(), organisation, ConnectionPool::expectedNanos);
      return least == null ? null : candidates.target(least, null);
    }
    ReadPlacement.@Nullable Choice<ConnectionPool> choice =
        regionalReads.choose(
            candidates.usable(),
            candidates.primary(),
            route.priority(),
            organisation,
            remainingNanos,
            clocks.steadyNanos());
    return choice == null ? null : candidates.target(choice.database(), choice);
  }

  /**
   * Returns the databases that may answer a read on a route that isn't {@link RouteKind#PRIMARY}.
   */
  ReadCandidates readCandidates(
      Route route, @Nullable Position lastCommitPosition, Set<ConnectionPool> excluded) {
    ReadCandidates candidates =
        new ReadCandidates(
            primary(), requiredPosition(route, lastCommitPosition), new ArrayList<>());
    @Nullable ConnectionPool primary = candidates.primary();
    if (primary != null && !excluded.contains(primary) && obstacle(primary, candidates) == null) {
      candidates.usable().add(primary);
    }
    for (ConnectionPool pool : pools.values()) {
      if (pool != primary && !excluded.contains(pool) && obstacle(pool, candidates) == null) {
        candidates.usable().add(pool);
      }
    }
    return candidates.among(outliers.notEjected(candidates.usable()));
  }

  /** Returns why a database may not answer a read now; null if it may. */
  @Nullable ReadObstacle obstacle(ConnectionPool pool, ReadCandidates candidates) {
    @Nullable ReadObstacle unusable = obstacleToAnyStatement(pool);
    if (unusable != null || pool == candidates.primary()) {
      return unusable;
    }
    if (candidates.requiredPosition() == null) {
      return ReadObstacle.NO_POSITION;
    }
    if (pool.lagging()) {
      return ReadObstacle.LAGGING;
    }
    return pool.entry().draining() ? ReadObstacle.DRAINING : null;
  }

  /** Returns why no statement may start at a database now; null if one may. */
  static @Nullable ReadObstacle obstacleToAnyStatement(ConnectionPool pool) {
    if (!pool.reachable()) {
      return ReadObstacle.UNREACHABLE;
    }
    return pool.heldByPausedTransactions() ? ReadObstacle.HELD : null;
  }

  /** Returns what places reads in several regions; null with one region. */
  @Nullable RegionalReads regionalReads() {
    return regionalReads;
  }

  long nowNanos() {
    return clocks.steadyNanos();
  }

  /**
   * Returns whether another database than those that were tried may answer a read, and reads don't
   * avoid it.
   */
  boolean mayReadElsewhere(
      Route route,
      @Nullable Position lastCommitPosition,
      ConnectionPool at,
      Set<ConnectionPool> tried) {
    return readCandidates(route, lastCommitPosition, tried).usable().stream()
        .anyMatch(pool -> pool != at && !outliers.ejected(pool.entry().id()));
  }

  /** Returns the limits of attempts of reads. */
  AttemptLimit attemptLimit() {
    return attemptLimit;
  }

  /** Returns the primary as the target of a statement; null if there is none. */
  @Nullable StatementTarget primaryTarget() {
    @Nullable ConnectionPool primary = primary();
    return primary == null
        ? null
        : new StatementTarget(
            primary, null, true, regionalReads == null ? null : regionalReads.atPrimary(primary));
  }

  /** Returns the database with the least cost; null without candidates. */
  @Nullable ConnectionPool leastCost(
      ReadCandidates candidates, int priority, String organisation, ExpectedTime expected) {
    @Nullable ConnectionPool best = null;
    double bestCost = Double.MAX_VALUE;
    for (ConnectionPool pool : candidates.usable()) {
      double cost = cost(pool, candidates.primary(), priority, organisation, expected);
      if (cost < bestCost) {
        best = pool;
        bestCost = cost;
      }
    }
    return best;
  }

  /** Returns the expected time at a database, with the additions for its distance and its role. */
  double cost(
      ConnectionPool pool,
      @Nullable ConnectionPool primary,
      int priority,
      String organisation,
      ExpectedTime expected) {
    boolean remote = !pool.entry().domain().equals(ownDomain);
    return expected.nanos(pool, priority, organisation)
        + (remote ? REMOTE_PENALTY_NANOS : 0)
        + (pool == primary ? PRIMARY_PENALTY_NANOS : 0);
  }

  /** Returns the decisions which databases reads avoid. */
  ReadOutliers outliers() {
    return outliers;
  }

  /**
   * Records that an attempt of a read ended without an answer to the read itself, which shows
   * whether reads should avoid the database.
   *
   * @param read false if it was no read, or its caller ended it; nothing is recorded then
   */
  void recordFailedRead(ConnectionPool pool, Answer answer, boolean read) {
    if (read) {
      outliers.record(pool, answer, pools.values());
    }
  }

  /**
   * Records the answer to a statement that was sent at {@code sentAt}, or that it was lost.
   *
   * @param read whether the answer shows whether reads should avoid the database: not if it was a
   *     write, its caller ended it, or an error may be due to the statement
   */
  void observe(ConnectionPool pool, Route route, Answer answer, ClockReading sentAt, boolean read) {
    long now = clocks.steadyNanos();
    long took = now - sentAt.steadyNanos();
    if (read) {
      outliers.record(pool, answer, pools.values());
    }
    attemptLimit.record(pool, route, answer.code(), sentAt.steadyNanos(), read);
    if (answer.code() == AnswerCode.LOST) {
      return;
    }
    pool.recordAnswer(route.priority(), answer.code(), took);
    if (regionalReads != null && !answer.code().hadNoEffect()) {
      regionalReads.record(pool, route.priority(), took, now);
    }
    recordPosition(pool, answer, sentAt);
  }

  /**
   * Records a complete answer to a command that uses no execution slot of the database. Its time
   * says nothing about the database's queue, so only the end of the log is taken from it.
   */
  public void observePosition(ConnectionPool pool, Answer answer, ClockReading sentAt) {
    pool.recordAnswer();
    recordPosition(pool, answer, sentAt);
  }

  /**
   * Records that a replica lacked the position that a read required. With several regions, a
   * replica that lacks only the last commit of the session is not avoided: the commit needs a
   * moment to reach another region, and other sessions' reads would have to leave it meanwhile.
   */
  void markLagging(ConnectionPool pool, Route route, @Nullable Position lastCommitPosition) {
    @Nullable Position required = requiredPosition(route, lastCommitPosition);
    boolean onlyOwnCommit = required != null && !required.equals(requiredPosition(route, null));
    if (regionalReads == null || !onlyOwnCommit) {
      pool.markLagging();
    }
  }

  /** Returns the latest known end of the primary's log; null if none is known. */
  @Nullable Position latestPosition() {
    return positions.latest();
  }

  /**
   * Returns the primary's answer to a commit, without its position if that can't cover the commit:
   * each commit has a later position than all that were known before it was sent.
   *
   * @param latest latest known end of the primary's log when the commit was sent
   * @param term term of the primary then
   */
  static Answer checkedCommit(Answer answer, @Nullable Position latest, long term) {
    @Nullable Position stated = answer.position();
    boolean covers =
        stated != null && stated.term() >= term && (latest == null || stated.compareTo(latest) > 0);
    return covers ? answer : answer.withoutPosition();
  }

  private void recordPosition(ConnectionPool pool, Answer answer, ClockReading sentAt) {
    if (answer.position() == null || pool != primary()) {
      return;
    }
    if (answer.position().term() == term()) {
      positions.add(answer.position(), sentAt);
    }
  }
}
