package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.ControlListener;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;

/**
 * Decides which databases of a group the reads of this host avoid, by the results of reads alone.
 *
 * <p>The fault that it addresses: a database is registered as ready and accepts connections, but
 * fails a part or all of its reads, or goes down and up by turns. Each failed read is repeated
 * elsewhere, but its caller has lost time, and only a few attempts are made for a read.
 *
 * <p><b>Evidence.</b> Errors, time limits and answers lost with their connection are failures.
 * Refusals are neither failures nor successes: a database that is overloaded refuses, and avoiding
 * it would overload the others. A refused read is repeated elsewhere after one round trip, and
 * {@link RankRateLimiter} already reduces the rate at the database.
 *
 * <p><b>Ejection.</b> A database is ejected if it failed at least {@link #MIN_FAILURES} attempts
 * within the window of {@link ReadResults}, and its failure rate is more than twice that of the
 * best other database and {@link #MIN_EXCESS}. Without attempts at another one there is nothing to
 * compare with, but each failed read is repeated elsewhere, so they come with the failures. A host
 * whose own link is bad sees failures of all databases, and ejects none. A database that becomes
 * unreachable and answers again {@link #MIN_OUTAGES} times within the window is ejected as well if
 * another one doesn't.
 *
 * <p><b>Bound.</b> At most half of the databases of the group, rounded down, are ejected, and never
 * the last one that is in service. If only ejected ones can answer a read, they are used. Writes,
 * and reads that only the primary may answer, aren't asked about.
 *
 * <p>All methods run on one thread.
 */
final class ReadOutliers {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Failures within the window below which no database is ejected. */
  private static final int MIN_FAILURES = 3;

  /** Attempts at another database that are needed for a comparison. */
  private static final int MIN_OTHER_ATTEMPTS = 2;

  /** Excess of the failure rate over twice that of the best other database. */
  private static final double MIN_EXCESS = 0.1;

  /**
   * Attempts that are added to those of the other database, with one failure among them, so that a
   * few successes don't count as a rate of 0.
   */
  private static final int PRIOR_ATTEMPTS = 4;

  /** Outages within the window from which on a database counts as going down and up by turns. */
  private static final int MIN_OUTAGES = 3;

  /** Answers lost within this time count once, since a database that restarts loses many. */
  private static final long ONE_LOSS_NANOS = 20 * NANOS_PER_MILLI;

  /** Length of a first ejection. */
  private static final long MIN_EJECTION_MS = 5_000;

  /** Bound of the length of an ejection, which doubles with each one that follows soon. */
  private static final long MAX_EJECTION_MS = 40_000;

  /** Time in service after which the length of the next ejection is halved. */
  private static final long HEALTHY_NANOS = 60_000 * NANOS_PER_MILLI;

  /** What is known of one database. */
  private static final class Health {
    final ReadResults results = new ReadResults();
    final ReadResults outages = new ReadResults();
    boolean ejected;
    long untilNanos;
    long lastEjectionMillis;
    long lostNanos;
    boolean lostBefore;
    boolean outage;
    long outageNanos;
  }

  private final String group;
  private final Clocks clocks;
  private final ControlListener events;
  private final Map<String, Health> healthByDatabase = new HashMap<>();
  private long ejections;

  /**
   * Creates the decisions of one group, with all databases in use.
   *
   * @param events receives an event for each ejection and return
   */
  ReadOutliers(String group, Clocks clocks, ControlListener events) {
    this.group = group;
    this.clocks = clocks;
    this.events = events;
  }

  /** Discards what is known of a database that has left. */
  void forget(String database) {
    healthByDatabase.remove(database);
  }

  /** Returns the number of ejections since the start. */
  long ejections() {
    return ejections;
  }

  /** Returns the number of databases that reads avoid now. */
  int ejectedNow() {
    return (int) healthByDatabase.values().stream().filter(each -> each.ejected).count();
  }

  /** Returns whether reads avoid a database now. */
  boolean ejected(String database) {
    @Nullable Health health = healthByDatabase.get(database);
    return health != null && health.ejected;
  }

  /**
   * Returns those of the databases that may answer a read which aren't ejected; all of them if each
   * is ejected.
   *
   * @param all pools of the whole group
   */
  List<ConnectionPool> preferred(List<ConnectionPool> usable, Collection<ConnectionPool> all) {
    all.forEach(pool -> observeOutage(pool, all));
    long now = clocks.steadyNanos();
    List<ConnectionPool> preferred = new ArrayList<>();
    for (ConnectionPool pool : usable) {
      @Nullable Health health = healthByDatabase.get(pool.entry().id());
      if (health == null || !avoids(pool.entry().id(), health, now)) {
        preferred.add(pool);
      }
    }
    return preferred.isEmpty() ? usable : preferred;
  }

  private boolean avoids(String database, Health health, long nowNanos) {
    if (health.ejected && nowNanos - health.untilNanos >= 0) {
      restore(database, health, nowNanos);
    }
    return health.ejected;
  }

  /** Records the result of a read, or of a command that prepared its connection. */
  void record(ConnectionPool pool, Answer answer, Collection<ConnectionPool> all) {
    boolean failed =
        switch (answer.code()) {
          case FAILED, LOST, TIMED_OUT -> true;
          default -> false;
        };
    if (!failed && !answer.ok()) {
      return;
    }
    Health health = health(pool);
    long now = clocks.steadyNanos();
    if (answer.code() == AnswerCode.LOST) {
      if (health.lostBefore && now - health.lostNanos < ONE_LOSS_NANOS) {
        return;
      }
      health.lostBefore = true;
      health.lostNanos = now;
    }
    health.results.add(failed, now);
    if (failed && !health.ejected && failsMore(pool, health, all, now)) {
      eject(pool, health, all, now);
    }
  }

  private Health health(ConnectionPool pool) {
    return healthByDatabase.computeIfAbsent(pool.entry().id(), id -> new Health());
  }

  private boolean failsMore(
      ConnectionPool pool, Health health, Collection<ConnectionPool> all, long nowNanos) {
    int failures = health.results.failures(nowNanos);
    double best = 1;
    for (ConnectionPool other : all) {
      Health others = health(other);
      int attempts = others.results.attempts(nowNanos);
      if (other != pool && !others.ejected && attempts >= MIN_OTHER_ATTEMPTS) {
        double rate = (others.results.failures(nowNanos) + 1.0) / (attempts + PRIOR_ATTEMPTS);
        best = Math.min(best, rate);
      }
    }
    double rate = (double) failures / health.results.attempts(nowNanos);
    return failures >= MIN_FAILURES && rate >= 2 * best + MIN_EXCESS;
  }

  /**
   * Counts an outage if the database became unreachable after it had answered since the last one.
   * One that stays down has a single outage, and {@link ConnectBackoff} keeps reads away.
   */
  private void observeOutage(ConnectionPool pool, Collection<ConnectionPool> all) {
    Health health = health(pool);
    long now = clocks.steadyNanos();
    if (pool.usable()) {
      return;
    }
    long answerAge = pool.answerAgeMillis();
    boolean answeredSince =
        answerAge >= 0 && answerAge * NANOS_PER_MILLI < now - health.outageNanos;
    if (health.outage && !answeredSince) {
      return;
    }
    health.outage = true;
    health.outageNanos = now;
    health.outages.add(true, now);
    boolean others =
        all.stream()
            .anyMatch(
                other ->
                    other != pool
                        && other.usable()
                        && 3 * health(other).outages.failures(now) <= health.outages.failures(now));
    if (!health.ejected && others && health.outages.failures(now) >= MIN_OUTAGES) {
      eject(pool, health, all, now);
    }
  }

  private void eject(
      ConnectionPool pool, Health health, Collection<ConnectionPool> all, long nowNanos) {
    int ejected = 0;
    boolean otherInService = false;
    for (ConnectionPool other : all) {
      boolean otherEjected = health(other).ejected;
      ejected += otherEjected ? 1 : 0;
      otherInService |= other != pool && !otherEjected && other.usable();
    }
    if (ejected >= all.size() / 2 || !otherInService) {
      return;
    }
    long millis = ejectionMillis(health, nowNanos);
    health.ejected = true;
    health.untilNanos = nowNanos + millis * NANOS_PER_MILLI;
    health.lastEjectionMillis = millis;
    ejections++;
    events.changed(
        "database_ejected",
        pool.entry().id(),
        "group %s, %d of %d reads failed and %d outages in 10 s, for %d ms"
            .formatted(
                group,
                health.results.failures(nowNanos),
                health.results.attempts(nowNanos),
                health.outages.failures(nowNanos),
                millis));
  }

  /** Returns the length of a new ejection: twice the last one, halved for each healthy period. */
  private static long ejectionMillis(Health health, long nowNanos) {
    if (health.lastEjectionMillis == 0) {
      return MIN_EJECTION_MS;
    }
    long healthyPeriods = Math.min(10, (nowNanos - health.untilNanos) / HEALTHY_NANOS);
    long doubled = Math.min(MAX_EJECTION_MS, 2 * health.lastEjectionMillis);
    return Math.max(MIN_EJECTION_MS, doubled >> Math.max(0, 2 * healthyPeriods));
  }

  private void restore(String database, Health health, long nowNanos) {
    health.ejected = false;
    health.results.clear();
    health.outages.clear();
    events.changed(
        "database_restored",
        database,
        "group %s, after %d ms"
            .formatted(
                group,
                health.lastEjectionMillis + (nowNanos - health.untilNanos) / NANOS_PER_MILLI));
  }
}
