package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.Rank;
import org.pollenspar.core.request.RetryBudget;
import org.pollenspar.core.version.Route;

/**
 * Decides when an attempt of a read that waits for its answer is ended, so that the read runs at
 * another database.
 *
 * <p>The fault that it addresses: a database accepts reads and never answers a part of them. Each
 * of these reads kept its caller waiting until the time limit of its route, and then failed.
 *
 * <p><b>Limit.</b> Learned from the latest reads of the rank at all databases of the group: what
 * the objective of the route leaves beside twice their median, but between twice and three times
 * their 99 % quantile, and at least {@link #MIN_LIMIT_MS}. Where twice the quantile is more than
 * the objective leaves, the read is late but answered. Above half of the time limit of the route
 * there is no limit.
 *
 * <p><b>Load.</b> An attempt that is ended while its database works on it has wasted a slot, so
 * healthy databases under overload must not be cut off. An attempt is ended only if a read that
 * this host sent later was answered in half the limit: by the database itself, or by another one if
 * the database itself has been silent for as long as the limit. A database whose last answers show
 * a delay by its queue isn't cut off either. Until the conditions hold, the attempt goes on. If the
 * database stays silent, twice the limit suffices, since a host with few statements may see no
 * other answer. A {@link RetryBudget} bounds the attempts that are ended to a tenth of the
 * successful reads.
 *
 * <p>All methods run on one thread.
 */
final class AttemptLimit {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double QUANTILE = 0.99;
  private static final int MIN_FACTOR = 2;
  private static final int MAX_FACTOR = 3;

  /** Floor of the limit, above the pauses of a healthy database and of this host. */
  private static final long MIN_LIMIT_MS = 100;

  /** Answers of the rank that are needed to learn a limit. */
  private static final int MIN_SAMPLES = 10;

  /**
   * Delay by the queue of the database above which its reads aren't ended. Above it, less urgent
   * work needs the permits of {@link BrokeredAdmission}.
   */
  private static final long MAX_DELAY_MS = 25;

  /** Age of the last answer up to which the delay counts. */
  private static final long RECENT_MS = 1_000;

  /** The read that was sent last of those that a database has answered or refused. */
  private record AnsweredRead(long sentNanos, long answeredNanos, boolean ok) {
    boolean shows(long sentBeforeNanos, long withinNanos) {
      return ok && sentNanos - sentBeforeNanos > 0 && answeredNanos - sentNanos <= withinNanos;
    }
  }

  private final ReadTimes times = new ReadTimes();
  private final Clocks clocks;
  private final RetryBudget budget = new RetryBudget();
  private final Map<String, AnsweredRead> latestByDatabase = new HashMap<>();
  private long ended;

  AttemptLimit(Clocks clocks) {
    this.clocks = clocks;
  }

  /** Discards what is known of a database that has left. */
  void forget(String database) {
    times.forget(database);
    latestByDatabase.remove(database);
  }

  /** Returns the number of attempts that were ended since the start. */
  long ended() {
    return ended;
  }

  /** Returns the limit of an attempt of a read in milliseconds; -1 if there is none. */
  long millis(Route route) {
    long[] sorted = times.sorted(database -> true, route.priority(), clocks.steadyNanos());
    if (sorted.length < MIN_SAMPLES) {
      return -1;
    }
    long quantile = ReadTimes.quantile(sorted, QUANTILE);
    long objective = route.targetLatencyMillis() * NANOS_PER_MILLI;
    long left = objective - 2 * ReadTimes.quantile(sorted, 0.5);
    long learned = Math.max(MIN_FACTOR * quantile, Math.min(MAX_FACTOR * quantile, left));
    long limit = Math.max(MIN_LIMIT_MS, learned / NANOS_PER_MILLI);
    return limit <= route.statementTimeoutMillis() / 2 ? limit : -1;
  }

  /**
   * Records the answer to a statement.
   *
   * @param read whether it was a read, whose time is learned
   */
  void record(ConnectionPool pool, Route route, AnswerCode code, long sentNanos, boolean read) {
    long now = clocks.steadyNanos();
    boolean ok = code == AnswerCode.OK;
    if (ok && read) {
      times.record(pool.entry().id(), route.priority(), now - sentNanos, now);
      budget.succeeded(rank(route));
    }
    if (ok || code == AnswerCode.BUSY) {
      latestByDatabase.merge(
          pool.entry().id(),
          new AnsweredRead(sentNanos, now, ok),
          (known, other) -> other.sentNanos - known.sentNanos >= 0 ? other : known);
    }
  }

  /**
   * Returns whether an attempt that has reached its limit may be ended, and counts it if so.
   *
   * @param sentNanos when it was sent
   * @param limitMillis its limit
   */
  boolean tryEnd(ConnectionPool pool, Route route, long sentNanos, long limitMillis) {
    String own = pool.entry().id();
    @Nullable AnsweredRead latest = latestByDatabase.get(own);
    long silentNanos =
        latest == null ? Long.MAX_VALUE : clocks.steadyNanos() - latest.answeredNanos;
    boolean silent = silentNanos >= limitMillis * NANOS_PER_MILLI;
    boolean loaded = silentNanos < RECENT_MS * NANOS_PER_MILLI && pool.delayMillis() > MAX_DELAY_MS;
    boolean answeredSince =
        latestByDatabase.entrySet().stream()
            .filter(each -> silent || each.getKey().equals(own))
            .anyMatch(each -> each.getValue().shows(sentNanos, limitMillis * NANOS_PER_MILLI / 2));
    boolean silentForLong =
        silent && clocks.steadyNanos() - sentNanos >= 2 * limitMillis * NANOS_PER_MILLI;
    if (loaded || !(answeredSince || silentForLong) || !budget.tryTake(rank(route))) {
      return false;
    }
    ended++;
    return true;
  }

  /** Returns the level of a route's reads in the budget, which uses nothing else of the rank. */
  private static Rank rank(Route route) {
    return new Rank(route.priority(), "", 0, 0);
  }
}
