package org.pollenspar.core.request;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Requests that wait for a connection at one home, for one group and direction. Driven by one
 * thread.
 *
 * @param <T> what waits
 */
public interface AdmissionQueue<T> {

  /** Takes a request at its arrival, or refuses it at once. */
  Admission offer(T item, Rank rank, long deadlineNanos, long nowNanos);

  /**
   * Puts a request that was polled but did not start back to the front of its rank, for example
   * after SQLSTATE 53300. Its deadline goes on, and the limit of the queue does not apply.
   */
  void putBack(T item, Rank rank, long deadlineNanos, long nowNanos);

  /** Returns the next request to run; never one whose deadline has passed. */
  Optional<T> poll(long nowNanos);

  /** Removes and returns the requests whose deadline has passed. */
  List<T> expire(long nowNanos);

  /** Removes a request that its caller cancelled; returns whether it was waiting. */
  boolean remove(T item);

  /** Records that a polled request ended, with the time for which it held its slot. */
  void completed(Rank rank, long serviceNanos, long nowNanos);

  /** Sets how many requests run at once. */
  void setConcurrency(int concurrency);

  /**
   * Takes the ranks of a new configuration version. What waits stays; requests of a rank that is no
   * longer declared are served with the next less urgent rank.
   */
  void setRanks(Collection<Rank> ranks);

  /** Removes and returns everything that waits. */
  List<T> drain();

  /** Returns how many requests wait. */
  int length();

  /** Returns how many requests of a rank wait. */
  int length(Rank rank);

  /** Returns a queue that serves by rank and keeps floors. */
  static <T> AdmissionQueue<T> ranked(Collection<Rank> ranks) {
    return new RankedAdmissionQueue<>(ranks);
  }

  /** Returns the baseline for comparison: one queue in order of arrival for all ranks. */
  static <T> AdmissionQueue<T> fifo(Collection<Rank> ranks) {
    return new FifoAdmissionQueue<>(ranks);
  }
}
