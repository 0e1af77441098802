package org.pollenspar.core.request;

import java.util.HashMap;
import java.util.Map;

/**
 * Token bucket per rank that limits retries to a tenth of the successes. Without it, a database
 * that fails half of its requests would get twice the load just when it can bear least.
 */
public final class RetryBudget {
  /** Retries allowed before the first success. */
  public static final int INITIAL_RETRIES = 10;

  /** Most retries that successes can save up. */
  public static final int MAX_RETRIES = 100;

  private static final int SUCCESSES_PER_RETRY = 10;

  /** Counted in tenths of a retry, so that sums are exact. */
  private final Map<Integer, Integer> tenthsByLevel = new HashMap<>();

  /** Records a request that succeeded. */
  public void succeeded(Rank rank) {
    int tenths = tenths(rank) + 1;
    tenthsByLevel.put(rank.level(), Math.min(tenths, MAX_RETRIES * SUCCESSES_PER_RETRY));
  }

  /** Takes one retry from the rank's budget; returns whether there was one. */
  public boolean tryTake(Rank rank) {
    int tenths = tenths(rank);
    if (tenths < SUCCESSES_PER_RETRY) {
      return false;
    }
    tenthsByLevel.put(rank.level(), tenths - SUCCESSES_PER_RETRY);
    return true;
  }

  /** Returns the whole retries left for a rank. */
  public int available(Rank rank) {
    return tenths(rank) / SUCCESSES_PER_RETRY;
  }

  private int tenths(Rank rank) {
    return tenthsByLevel.getOrDefault(rank.level(), INITIAL_RETRIES * SUCCESSES_PER_RETRY);
  }
}
