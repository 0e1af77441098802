package org.pollenspar.core.request;

import java.util.HashMap;
import java.util.Map;

/**
 * Token bucket per rank that limits retries to a tenth of the successful requests. Without a limit,
 * a database that fails half of its requests would get twice the load while it is least able to
 * serve it.
 *
 * <p>A bucket starts with {@link #INITIAL_RETRIES}, gains a tenth of a retry with each success and
 * holds at most {@link #MAX_RETRIES}. Not thread-safe.
 */
public final class RetryBudget {
  /** Retries available before the first success. */
  public static final int INITIAL_RETRIES = 10;

  /** Upper limit of the budget, however many requests have succeeded. */
  public static final int MAX_RETRIES = 100;

  private static final int SUCCESSES_PER_RETRY = 10;

  /** Budgets by level of the rank, in tenths of a retry, so that integer arithmetic is exact. */
  private final Map<Integer, Integer> tenthsByLevel = new HashMap<>();

  /** Adds a tenth of a retry for a successful request. */
  public void succeeded(Rank rank) {
    int tenths = tenths(rank) + 1;
    tenthsByLevel.put(rank.level(), Math.min(tenths, MAX_RETRIES * SUCCESSES_PER_RETRY));
  }

  /** Takes one retry from the rank's budget; returns false if less than one is left. */
  public boolean tryTake(Rank rank) {
    int tenths = tenths(rank);
    if (tenths < SUCCESSES_PER_RETRY) {
      return false;
    }
    tenthsByLevel.put(rank.level(), tenths - SUCCESSES_PER_RETRY);
    return true;
  }

  /** Returns the number of whole retries left for a rank. */
  public int available(Rank rank) {
    return tenths(rank) / SUCCESSES_PER_RETRY;
  }

  private int tenths(Rank rank) {
    return tenthsByLevel.getOrDefault(rank.level(), INITIAL_RETRIES * SUCCESSES_PER_RETRY);
  }
}
