package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.ControlListener;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;

/**
 * Decides which databases of a group the reads of this host avoid, by the results of reads alone.
 *
 * <p>The fault that it addresses: a database is registered as ready and accepts connections, but
 * fails a part or all of its reads, or goes down and up by turns. Each failed read is repeated
 * elsewhere, but its caller has lost time, and only a few attempts are made for a read.
 *
 * <p><b>Evidence.</b> Errors, answers lost with their connection and answers that didn't come in
 * time ({@link AttemptLimit}) are failures. An error counts once the same read has succeeded at
 * another database, since a read may be wrong itself; an error within a transaction, which isn't
 * repeated, doesn't count. Refusals are neither failures nor successes: a database that is
 * overloaded refuses, and avoiding it would overload the others. A refused read is repeated
 * elsewhere after one round trip, and {@link RankRateLimiter} already reduces the rate at the
 * database. Late answers are successes, for the same reason: when answers above 4 times the median
 * of the other databases counted as failures, 20 hosts made 37 ejections in a simulated overload of
 * 20 s. Expected response times already move reads away from a slow database.
 *
 * <p><b>Ejection.</b> A database is ejected if at least {@link #MIN_FAILURES} of the attempts that
 * {@link ReadResults} keeps failed, and its failure rate is more than twice that of the best other
 * database and {@link #MIN_EXCESS}. Without attempts at another one there is nothing to compare
 * with, but each failed read is repeated elsewhere, so they come with the failures. A host whose
 * own link is bad sees failures of all databases, and ejects none. A database that becomes
 * unreachable and answers again {@link #MIN_OUTAGES} times within the window is ejected as well if
 * another one doesn't.
 *
 * <p><b>Bound.</b> At most half of the databases of the group, rounded down, are ejected, and never
 * the last one that is in service. If only ejected ones can answer a read, they are used. Writes,
 * and reads that only the primary may answer, aren't asked about.
 *
 * <p><b>Return.</b> When its time is over, {@link OutlierTrial} sends status queries. If it fails,
 * the database is ejected again, for longer. If not, reads return to it over {@link
 * #SLOW_START_MS}, and {@link #MIN_SLOW_START_FAILURES} failures eject it again.
 *
 * <p>All methods run on one thread.
 */
final class ReadOutliers {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Failures within the window below which no database is ejected. */
  private static final int MIN_FAILURES = 3;

  /** The same while reads return to a database. */
  private static final int MIN_SLOW_START_FAILURES = 2;

  /** Time in which the share of the reads that may use a database again grows from 0.1 to 1. */
  private static final long SLOW_START_MS = 10_000;

  private static final double FIRST_SHARE = 0.1;

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

  /**
   * Bound of the length of an ejection, which doubles with each one that follows, and with each
   * failed trial.
   */
  private static final long MAX_EJECTION_MS = 40_000;

  /** Time in service after which the length of the next ejection is a quarter. */
  private static final long HEALTHY_NANOS = 60_000 * NANOS_PER_MILLI;

  /** What is known of one database. */
  private static final class Health {
    final ReadResults results = new ReadResults();
    final ReadResults outages = new ReadResults();
    boolean ejected;
    int failedTrials;
    long ejectedNanos;
    boolean slowStart;
    long returnedNanos;
    long lastEjectionMillis;
    double returnCredit;
    long lostNanos;
    boolean lostBefore;
    boolean outage;
    long outageNanos;
  }

  private final String group;
  private final Clocks clocks;
  private final Timers timers;
  private final ControlListener events;
  private final Map<String, Health> healthByDatabase = new HashMap<>();
  private long ejections;

  /**
   * Creates the decisions of one group, with all databases in use.
   *
   * @param timers run the trials
   * @param events receives an event for each ejection and return
   */
  ReadOutliers(String group, Clocks clocks, Timers timers, ControlListener events) {
    this.group = group;
    this.clocks = clocks;
    this.timers = timers;
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

  /** Returns those of some databases that aren't ejected; all of them if each is ejected. */
  List<ConnectionPool> notEjected(List<ConnectionPool> usable) {
    List<ConnectionPool> inService =
        usable.stream().filter(each -> !ejected(each.entry().id())).toList();
    return inService.isEmpty() ? usable : inService;
  }

  /**
   * Returns those of the databases that may answer a read which the next read may use: not those
   * that are ejected, and in a slow start only for a share of the reads. All of them if there are
   * no others.
   *
   * @param all pools of the whole group
   */
  List<ConnectionPool> preferred(List<ConnectionPool> usable, Collection<ConnectionPool> all) {
    all.forEach(pool -> observeOutage(pool, all));
    long now = clocks.steadyNanos();
    List<ConnectionPool> preferred = new ArrayList<>();
    for (ConnectionPool pool : usable) {
      @Nullable Health health = healthByDatabase.get(pool.entry().id());
      if (health == null || mayReceive(health, now)) {
        preferred.add(pool);
      }
    }
    return preferred.isEmpty() ? usable : preferred;
  }

  /** Returns whether a read may use a database; in its slow start, only a share of them may. */
  private static boolean mayReceive(Health health, long nowNanos) {
    if (health.ejected || !health.slowStart) {
      return !health.ejected;
    }
    double elapsed = (double) (nowNanos - health.returnedNanos) / NANOS_PER_MILLI / SLOW_START_MS;
    if (elapsed >= 1) {
      health.slowStart = false;
      return true;
    }
    health.returnCredit += FIRST_SHARE + (1 - FIRST_SHARE) * elapsed;
    boolean may = health.returnCredit >= 1;
    health.returnCredit -= may ? 1 : 0;
    return may;
  }

  /** Returns whether an answer to a read shows a fault of the database. */
  static boolean failed(AnswerCode code) {
    return switch (code) {
      case FAILED, LOST, TIMED_OUT -> true;
      default -> false;
    };
  }

  /** Records the result of a read, or of a command that prepared its connection. */
  void record(ConnectionPool pool, Answer answer, Collection<ConnectionPool> all) {
    boolean failed = failed(answer.code());
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
    int needed = health.slowStart ? MIN_SLOW_START_FAILURES : MIN_FAILURES;
    return failures >= needed && rate >= 2 * best + MIN_EXCESS;
  }

  /**
   * Counts an outage if the database became unreachable after it had answered since the last one.
   * One that stays down has a single outage, and {@link ConnectBackoff} keeps reads away.
   */
  private void observeOutage(ConnectionPool pool, Collection<ConnectionPool> all) {
    Health health = health(pool);
    long now = clocks.steadyNanos();
    if (pool.reachable()) {
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
                        && other.reachable()
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
      otherInService |= other != pool && !otherEjected && other.reachable();
    }
    if (ejected >= all.size() / 2 || !otherInService) {
      return;
    }
    long millis = ejectionMillis(health, nowNanos);
    health.ejected = true;
    health.ejectedNanos = nowNanos;
    health.failedTrials = 0;
    ejections++;
    tryAfter(millis, pool, health);
    events.changed(
        "database_ejected",
        pool.entry().id(),
        "group %s, %d of the last %d reads failed, %d outages in 10 s, for %d ms"
            .formatted(
                group,
                health.results.failures(nowNanos),
                health.results.attempts(nowNanos),
                health.outages.failures(nowNanos),
                millis));
  }

  /** Returns the length of a new ejection: twice the last one, less for each healthy period. */
  private static long ejectionMillis(Health health, long nowNanos) {
    if (health.lastEjectionMillis == 0) {
      return MIN_EJECTION_MS;
    }
    long healthyPeriods = Math.min(10, (nowNanos - health.returnedNanos) / HEALTHY_NANOS);
    return lengthAfter(health.lastEjectionMillis >> (2 * healthyPeriods));
  }

  private static long lengthAfter(long lastMillis) {
    return Math.max(MIN_EJECTION_MS, Math.min(MAX_EJECTION_MS, 2 * lastMillis));
  }

  private void tryAfter(long millis, ConnectionPool pool, Health health) {
    health.lastEjectionMillis = millis;
    OutlierTrial trial =
        new OutlierTrial(pool, clocks, timers, good -> trialEnded(good, pool, health));
    timers.after(millis, trial::start);
  }

  private void trialEnded(boolean good, ConnectionPool pool, Health health) {
    if (healthByDatabase.get(pool.entry().id()) != health) {
      return;
    }
    if (!good) {
      health.failedTrials++;
      tryAfter(lengthAfter(health.lastEjectionMillis), pool, health);
      return;
    }
    long now = clocks.steadyNanos();
    health.ejected = false;
    health.slowStart = true;
    health.returnedNanos = now;
    health.returnCredit = 0;
    health.results.clear();
    health.outages.clear();
    events.changed(
        "database_restored",
        pool.entry().id(),
        "group %s, after %d ms and %d failed trials"
            .formatted(group, (now - health.ejectedNanos) / NANOS_PER_MILLI, health.failedTrials));
  }
}
