package org.pollenspar.core.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.pollenspar.core.process.ErrorKind;

/**
 * Baseline for comparison: one queue in order of arrival for all ranks, refused only when full.
 *
 * @param <T> what waits
 */
final class FifoAdmissionQueue<T> implements AdmissionQueue<T> {
  private static final double NANOS_PER_MILLI = 1e6;

  private int limit;
  private final FifoRequestQueue<T> line = new FifoRequestQueue<>();
  private final ServiceTime service = new ServiceTime();
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
    if (line.length() >= limit) {
      long wait = (long) Math.ceil(line.length() * service.nanos() / concurrency / NANOS_PER_MILLI);
      return new Admission.Refused(ErrorKind.QUEUE_FULL, wait, Math.max(1, wait));
    }
    line.addLast(item, rank, deadlineNanos);
    return new Admission.Accepted();
  }

  @Override
  public void putBack(T item, Rank rank, long deadlineNanos, long nowNanos) {
    line.addFirst(item, rank, deadlineNanos);
  }

  @Override
  public Optional<T> poll(long nowNanos) {
    line.trim(nowNanos, 0, expired);
    return line.removeFirst().map(FifoRequestQueue.Entry::item);
  }

  @Override
  public List<T> expire(long nowNanos) {
    line.expire(nowNanos, expired);
    List<T> result = List.copyOf(expired);
    expired.clear();
    return result;
  }

  @Override
  public boolean remove(T item) {
    return line.remove(item);
  }

  @Override
  public void completed(Rank rank, long serviceNanos, long nowNanos) {
    service.add(serviceNanos);
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
    line.drainTo(result);
    return result;
  }

  @Override
  public int length() {
    return line.length();
  }

  @Override
  public int length(Rank rank) {
    return line.length(rank);
  }
}
