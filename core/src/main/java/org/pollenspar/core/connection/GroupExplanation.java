package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.PrimaryRecord;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.Refusal;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;

/**
 * At which database of a group a statement outside a transaction would run now, and why.
 *
 * <p>The decisions are those of {@link GroupRouter} and {@link ConnectionPool}, made without their
 * effects: no connection is opened, no permit is requested, no random number is drawn and nothing
 * is counted.
 *
 * @param databases all databases, in the order of their ids
 * @param requiredPosition position that the log of a replica must include; null if none is known or
 *     only the primary may run the statement
 * @param chosen database that is chosen for most statements like this one, after those that would
 *     refuse it; null if it would be refused
 * @param reason why; null if it would be refused
 * @param refusal what the caller would be told; null if the statement would be sent
 */
public record GroupExplanation(
    List<Database> databases,
    @Nullable Position requiredPosition,
    @Nullable String chosen,
    @Nullable String reason,
    @Nullable Refusal refusal) {

  /**
   * A database of the group.
   *
   * @param region its region; empty if it is unknown or there is only one
   * @param primary whether it is the recorded primary
   * @param obstacle why it may not run the statement now; null if it may
   * @param expectedNanos expected time until an answer, with the wait for a connection
   * @param comparedNanos time by which it is compared with the others, which adds its distance and
   *     the reserve of the primary; negative if it isn't compared
   * @param part part of the first attempts of such statements that run there, 0 to 1
   * @param permitNeeded whether the database's broker decides as well
   * @param refusal reason for which it would refuse the statement now; null if it wouldn't
   */
  public record Database(
      DatabaseEntry entry,
      String region,
      boolean primary,
      @Nullable ReadObstacle obstacle,
      double expectedNanos,
      double comparedNanos,
      double part,
      boolean permitNeeded,
      @Nullable String refusal) {}

  /**
   * Explains a statement that arrives now.
   *
   * @param lastCommit last commit of the session, which reads include on a route that demands it;
   *     null for none
   */
  public static GroupExplanation of(
      GroupRouter router,
      Route route,
      String organisation,
      boolean writes,
      @Nullable Position lastCommit) {
    return new Question(router, route, organisation, writes, lastCommit).answer();
  }

  /** A statement that is not sent. */
  private record Question(
      GroupRouter router,
      Route route,
      String organisation,
      boolean writes,
      @Nullable Position lastCommit) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private long maxWaitNanos() {
      return route.targetLatencyMillis() * NANOS_PER_MILLI;
    }

    private boolean primaryOnly() {
      return writes || route.kind() == RouteKind.PRIMARY;
    }

    /** Returns where such statements run, the largest part of them first. */
    private List<ExpectedTarget> targets(Set<ConnectionPool> excluded) {
      if (primaryOnly()) {
        @Nullable ConnectionPool primary = router.primary();
        return primary == null
            ? List.of()
            : List.of(new ExpectedTarget(primary, ReadPlacement.Reason.PRIMARY.name(), 1));
      }
      ReadCandidates candidates = router.readCandidates(route, lastCommit, excluded);
      @Nullable RegionalReads regional = router.regionalReads();
      if (regional == null) {
        @Nullable ConnectionPool least =
            router.leastCost(
                candidates, route.priority(), organisation, ConnectionPool::estimatedNanos);
        return least == null
            ? List.of()
            : List.of(new ExpectedTarget(least, ExpectedTarget.LEAST_TIME, 1));
      }
      return regional.shares(compared(regional, candidates), maxWaitNanos()).stream()
          .map(
              share ->
                  new ExpectedTarget(
                      share.choice().database(), share.choice().reason().name(), share.part()))
          .toList();
    }

    private List<ReadPlacement.Candidate<ConnectionPool>> compared(
        RegionalReads regional, ReadCandidates candidates) {
      return regional.candidates(
          candidates.usable(),
          candidates.primary(),
          route.priority(),
          organisation,
          ConnectionPool::estimatedNanos,
          router.nowNanos());
    }

    /** Returns the times by which the databases that may answer a read are compared. */
    private Map<ConnectionPool, Double> comparedNanos(ReadCandidates candidates) {
      Map<ConnectionPool, Double> compared = new HashMap<>();
      @Nullable RegionalReads regional = router.regionalReads();
      if (primaryOnly()) {
        return compared;
      }
      if (regional != null) {
        compared(regional, candidates)
            .forEach(each -> compared.put(each.database(), each.responseNanos()));
        return compared;
      }
      for (ConnectionPool pool : candidates.usable()) {
        compared.put(
            pool,
            router.cost(
                pool,
                candidates.primary(),
                route.priority(),
                organisation,
                ConnectionPool::estimatedNanos));
      }
      return compared;
    }

    private @Nullable String refusal(ConnectionPool pool) {
      return pool.refusal(route.priority(), organisation, maxWaitNanos());
    }

    /** Goes through the attempts of {@link SingleStatement} until a database doesn't refuse. */
    GroupExplanation answer() {
      Set<ConnectionPool> excluded = new HashSet<>();
      String refused = SingleStatement.unavailable(router.group());
      for (int attempt = 0; attempt < (writes ? 1 : SingleStatement.MAX_ATTEMPTS); attempt++) {
        List<ExpectedTarget> targets = targets(excluded);
        if (targets.isEmpty()) {
          break;
        }
        ExpectedTarget target = targets.get(0);
        @Nullable String reason = refusal(target.pool());
        if (reason == null) {
          return answer(target, null);
        }
        refused = reason;
        excluded.add(target.pool());
      }
      return answer(null, new Refusal(AnswerCode.BUSY, refused));
    }

    private GroupExplanation answer(@Nullable ExpectedTarget chosen, @Nullable Refusal refusal) {
      return new GroupExplanation(
          databases(),
          primaryOnly() ? null : router.requiredPosition(route, lastCommit),
          chosen == null ? null : chosen.pool().entry().id(),
          chosen == null ? null : chosen.reason(),
          refusal);
    }

    private List<Database> databases() {
      ReadCandidates candidates = router.readCandidates(route, lastCommit, Set.of());
      Map<ConnectionPool, Double> compared = comparedNanos(candidates);
      Map<ConnectionPool, Double> parts = new HashMap<>();
      targets(Set.of()).forEach(target -> parts.put(target.pool(), target.part()));
      @Nullable PrimaryRecord record = router.authority().record(router.group());
      @Nullable RegionalReads regional = router.regionalReads();
      List<Database> databases = new ArrayList<>();
      for (ConnectionPool pool : router.pools()) {
        databases.add(
            new Database(
                pool.entry(),
                regional == null ? "" : regional.region(pool),
                record != null && record.database().equals(pool.entry().id()),
                obstacle(pool, candidates),
                pool.estimatedNanos(route.priority(), organisation),
                compared.getOrDefault(pool, -1.0),
                parts.getOrDefault(pool, 0.0),
                pool.permitNeeded(route.priority()),
                refusal(pool)));
      }
      databases.sort(Comparator.comparing(each -> each.entry().id()));
      return databases;
    }

    private @Nullable ReadObstacle obstacle(ConnectionPool pool, ReadCandidates candidates) {
      if (primaryOnly() && pool == candidates.primary()) {
        return GroupRouter.obstacleToAnyStatement(pool);
      }
      @Nullable ReadObstacle obstacle =
          primaryOnly() ? ReadObstacle.NOT_THE_PRIMARY : router.obstacle(pool, candidates);
      if (obstacle == null && !candidates.usable().contains(pool)) {
        return ReadObstacle.EJECTED;
      }
      @Nullable ReadObstacle asPrimary = obstacleAsPrimary(pool);
      return obstacle != null && asPrimary != null ? asPrimary : obstacle;
    }

    /** Returns why the recorded primary may not be used as such; null for other databases. */
    private @Nullable ReadObstacle obstacleAsPrimary(ConnectionPool pool) {
      @Nullable PrimaryRecord record = router.authority().record(router.group());
      if (record == null || !record.database().equals(pool.entry().id())) {
        return null;
      }
      return switch (router.authority().use(router.group())) {
        case CHANGING -> ReadObstacle.BEING_REPLACED;
        case SUSPENDED -> ReadObstacle.CLAIMED_BY_ANOTHER;
        case UNCONFIRMED -> ReadObstacle.NOT_CONFIRMED;
        case UNKNOWN, USABLE -> null;
      };
    }
  }
}
