package org.pollenspar.core.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Requests in order of arrival, each with its deadline. */
final class FifoRequestQueue<T> {

  /** One waiting request. */
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
   * Moves requests at the head that are expired or cannot end in time to {@code expired}. The last
   * one stays until it is expired, so that the service time goes on being measured.
   *
   * @param serviceNanos expected time of service
   */
  void trim(long nowNanos, long serviceNanos, List<T> expired) {
    @Nullable Entry<T> head = entries.peekFirst();
    while (head != null
        && (head.expired(nowNanos)
            || (entries.size() > 1 && head.expired(nowNanos + serviceNanos)))) {
      expired.add(entries.removeFirst().item);
      head = entries.peekFirst();
    }
  }

  /** Moves all expired requests to {@code expired}. */
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
