package org.pollenspar.core.connection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import org.jspecify.annotations.Nullable;

/** Queue of connection requests, ordered by rank and, within a rank, by arrival. */
final class ConnectionRequestQueue {
  private final Map<Integer, ArrayDeque<ConnectionRequest>> queues = new TreeMap<>();
  private int length;

  void add(ConnectionRequest request) {
    queues.computeIfAbsent(request.priority(), key -> new ArrayDeque<>()).addLast(request);
    length++;
  }

  /** Removes and returns the first request of the most urgent rank that may start; null if none. */
  @Nullable ConnectionRequest poll(IntPredicate mayStart) {
    for (Map.Entry<Integer, ArrayDeque<ConnectionRequest>> queue : queues.entrySet()) {
      if (!queue.getValue().isEmpty() && mayStart.test(queue.getKey())) {
        length--;
        return queue.getValue().pollFirst();
      }
    }
    return null;
  }

  /** Returns how many requests of a rank wait. */
  int waiting(int priority) {
    @Nullable ArrayDeque<ConnectionRequest> queue = queues.get(priority);
    return queue == null ? 0 : queue.size();
  }

  boolean remove(ConnectionRequest request) {
    @Nullable ArrayDeque<ConnectionRequest> queue = queues.get(request.priority());
    if (queue == null || !queue.remove(request)) {
      return false;
    }
    length--;
    return true;
  }

  /** Returns how many waiting requests are served before a new request of a rank. */
  int requestsAhead(int priority) {
    int count = 0;
    for (Map.Entry<Integer, ArrayDeque<ConnectionRequest>> queue : queues.entrySet()) {
      if (queue.getKey() <= priority) {
        count += queue.getValue().size();
      }
    }
    return count;
  }

  int length() {
    return length;
  }

  List<ConnectionRequest> drain() {
    List<ConnectionRequest> all = new ArrayList<>();
    queues.values().forEach(all::addAll);
    queues.clear();
    length = 0;
    return all;
  }
}
