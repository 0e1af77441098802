package org.pollenspar.core.request;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Admission control: requests that wait for a database connection at one home proxy. Each home has
 * a queue per group for the connections to the primary and another for those to the replicas.
 *
 * <p>Not thread-safe; all times are monotonic nanoseconds of this process.
 *
 * @param <T> type of the queued requests
 */
public interface AdmissionQueue<T> {

  /** Queues a request that has just arrived, or refuses it at once. */
  Admission offer(T item, Rank rank, long deadlineNanos, long nowNanos);

  /**
   * Returns a request that was polled but could not start to the front of its rank, for example
   * after SQLSTATE 53300 (too many connections). Its deadline is unchanged, and the queue limit
   * does not apply.
   */
  void putBack(T item, Rank rank, long deadlineNanos, long nowNanos);

  /** Removes and returns the next request to run; never one whose deadline has passed. */
  Optional<T> poll(long nowNanos);

  /**
   * Removes and returns the requests whose deadline has passed, and those that {@link #poll}
   * dropped since the last call because they could no longer finish in time.
   */
  List<T> expire(long nowNanos);

  /** Removes a request that its caller cancelled; returns whether it was waiting. */
  boolean remove(T item);

  /** Records that a polled request ended, with the time for which it held its connection. */
  void completed(Rank rank, long serviceNanos, long nowNanos);

  /** Sets how many requests can run at once; below 1 counts as 1. */
  void setConcurrency(int concurrency);

  /**
   * Applies the ranks of a new configuration version. Queued requests stay queued; those of a rank
   * that is no longer declared are served with the next less urgent rank.
   */
  void setRanks(Collection<Rank> ranks);

  /** Removes and returns all queued requests. */
  List<T> drain();

  int length();

  int length(Rank rank);

  /** Returns a queue that serves the most urgent rank first and keeps the floor of each rank. */
  static <T> AdmissionQueue<T> ranked(Collection<Rank> ranks) {
    return new RankedAdmissionQueue<>(ranks);
  }

  /** Returns the baseline for comparisons: one FIFO queue for all ranks. */
  static <T> AdmissionQueue<T> fifo(Collection<Rank> ranks) {
    return new FifoAdmissionQueue<>(ranks);
  }
}
