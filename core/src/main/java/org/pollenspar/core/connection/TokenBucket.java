package org.pollenspar.core.connection;

/**
 * Counts operations that may run: one token for each, refilled at a rate up to a capacity.
 *
 * <p>Invariant: in any time t, at most capacity + rate x t tokens are taken and not given back. A
 * counter per fixed interval fails that, since two intervals that meet may both be used up at their
 * common end.
 */
final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;

  /** Longest time to come back that is stated; a rate of 0 never has another token. */
  private static final long MAX_RETRY_MS = 10_000;

  private double perSecond;
  private double capacity;
  private double tokens;
  private long filledNanos;

  /** Creates an empty bucket. A capacity below 1 counts as 1, since it would never grant. */
  TokenBucket(double perSecond, double capacity, long nowNanos) {
    this.perSecond = perSecond;
    this.capacity = Math.max(1, capacity);
    this.filledNanos = nowNanos;
  }

  /** Changes rate and capacity from now on; tokens above the new capacity are dropped. */
  void limit(double newPerSecond, double newCapacity, long nowNanos) {
    fill(nowNanos);
    perSecond = newPerSecond;
    capacity = Math.max(1, newCapacity);
    tokens = Math.min(tokens, capacity);
  }

  /** Drops all tokens. */
  void clear(long nowNanos) {
    tokens = 0;
    filledNanos = nowNanos;
  }

  /** Takes one token; returns false if there is none. */
  boolean take(long nowNanos) {
    fill(nowNanos);
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  /** Adds tokens up to the capacity. */
  void add(double count) {
    tokens = Math.min(capacity, tokens + count);
  }

  /** Returns the number of tokens. */
  double tokens(long nowNanos) {
    fill(nowNanos);
    return tokens;
  }

  /** Returns the time in which a number of tokens will be there; at least 1 ms. */
  long millisUntil(double count, long nowNanos) {
    fill(nowNanos);
    double millis = (count - tokens) / perSecond * MILLIS_PER_SECOND;
    return millis < MAX_RETRY_MS ? Math.max(1, (long) Math.ceil(millis)) : MAX_RETRY_MS;
  }

  private void fill(long nowNanos) {
    double seconds = Math.max(0, nowNanos - filledNanos) / NANOS_PER_SECOND;
    tokens = Math.min(capacity, tokens + perSecond * seconds);
    filledNanos = nowNanos;
  }
}
