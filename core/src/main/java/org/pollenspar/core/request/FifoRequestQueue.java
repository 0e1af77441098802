package org.pollenspar.core.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** FIFO queue of requests, each with its rank and deadline. Not thread-safe. */
final class FifoRequestQueue<T> {

  /** A queued request; the deadline is a monotonic time. */
  record Entry<T>(T item, Rank rank, long deadlineNanos) {
    boolean expired(long nowNanos) {
      return deadlineNanos - nowNanos <= 0;
    }
  }

  private final Deque<Entry<T>> entries = new ArrayDeque<>();

  void addLast(T item, Rank rank, long deadlineNanos) {
    entries.addLast(new Entry<>(item, rank, deadlineNanos));
  }

  void addFirst(T item, Rank rank, long deadlineNanos) {
    entries.addFirst(new Entry<>(item, rank, deadlineNanos));
  }

  void append(FifoRequestQueue<T> other) {
    entries.addAll(other.entries);
  }

  int length() {
    return entries.size();
  }

  int length(Rank rank) {
    return (int) entries.stream().filter(entry -> entry.rank.level() == rank.level()).count();
  }

  /**
   * Moves requests at the head whose deadline has passed, or passes before they could end, to
   * {@code expired}. The last request stays until its deadline has passed: if it too were dropped,
   * no request would run any more and the service time would never be measured again.
   *
   * @param serviceNanos expected service time
   */
  void dropUnservable(long nowNanos, long serviceNanos, List<T> expired) {
    @Nullable Entry<T> head = entries.peekFirst();
    while (head != null
        && (head.expired(nowNanos)
            || (entries.size() > 1 && head.expired(nowNanos + serviceNanos)))) {
      expired.add(entries.removeFirst().item);
      head = entries.peekFirst();
    }
  }

  /** Moves all requests whose deadline has passed to {@code expired}. */
  void expire(long nowNanos, List<T> expired) {
    for (Iterator<Entry<T>> i = entries.iterator(); i.hasNext(); ) {
      Entry<T> entry = i.next();
      if (entry.expired(nowNanos)) {
        expired.add(entry.item);
        i.remove();
      }
    }
  }

  Optional<Entry<T>> removeFirst() {
    return Optional.ofNullable(entries.pollFirst());
  }

  boolean remove(T item) {
    return entries.removeIf(entry -> entry.item.equals(item));
  }

  void drainTo(List<T> items) {
    entries.forEach(entry -> items.add(entry.item));
    entries.clear();
  }
}
