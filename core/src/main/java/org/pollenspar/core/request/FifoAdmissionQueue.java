package org.pollenspar.core.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.pollenspar.core.process.ErrorKind;

/**
 * Baseline for comparisons: one FIFO queue for all ranks that refuses requests only when it is
 * full. Its limit is the sum of the queue limits of all ranks.
 *
 * @param <T> type of the queued requests
 */
final class FifoAdmissionQueue<T> implements AdmissionQueue<T> {
  private static final double NANOS_PER_MILLI = 1e6;

  private int limit;
  private final FifoRequestQueue<T> waiting = new FifoRequestQueue<>();
  private final ServiceTime serviceTime = new ServiceTime();

  /** Requests that {@link #poll} dropped; {@link #expire} or {@link #drain} returns them. */
  private final List<T> expired = new ArrayList<>();

  private int concurrency = 1;

  FifoAdmissionQueue(Collection<Rank> ranks) {
    this.limit = totalLimit(ranks);
  }

  private static int totalLimit(Collection<Rank> ranks) {
    return ranks.stream().mapToInt(Rank::queueLimit).sum();
  }

  @Override
  public Admission offer(T item, Rank rank, long deadlineNanos, long nowNanos) {
    if (waiting.length() >= limit) {
      long waitMillis =
          (long) Math.ceil(waiting.length() * serviceTime.nanos() / concurrency / NANOS_PER_MILLI);
      return new Admission.Refused(ErrorKind.QUEUE_FULL, waitMillis, Math.max(1, waitMillis));
    }
    waiting.addLast(item, rank, deadlineNanos);
    return new Admission.Accepted();
  }

  @Override
  public void putBack(T item, Rank rank, long deadlineNanos, long nowNanos) {
    waiting.addFirst(item, rank, deadlineNanos);
  }

  @Override
  public Optional<T> poll(long nowNanos) {
    waiting.dropUnservable(nowNanos, 0, expired);
    return waiting.removeFirst().map(FifoRequestQueue.Entry::item);
  }

  @Override
  public List<T> expire(long nowNanos) {
    waiting.expire(nowNanos, expired);
    List<T> result = List.copyOf(expired);
    expired.clear();
    return result;
  }

  @Override
  public boolean remove(T item) {
    return waiting.remove(item);
  }

  @Override
  public void completed(Rank rank, long serviceNanos, long nowNanos) {
    serviceTime.add(serviceNanos);
  }

  @Override
  public void setConcurrency(int newConcurrency) {
    concurrency = Math.max(1, newConcurrency);
  }

  @Override
  public void setRanks(Collection<Rank> ranks) {
    limit = totalLimit(ranks);
  }

  @Override
  public List<T> drain() {
    List<T> result = new ArrayList<>(expired);
    expired.clear();
    waiting.drainTo(result);
    return result;
  }

  @Override
  public int length() {
    return waiting.length();
  }

  @Override
  public int length(Rank rank) {
    return waiting.length(rank);
  }
}
