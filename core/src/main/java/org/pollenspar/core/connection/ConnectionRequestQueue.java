package org.pollenspar.core.connection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import org.jspecify.annotations.Nullable;

/** Requests that wait for a connection: the most urgent rank first, in order of arrival within. */
final class ConnectionRequestQueue {
  private final Map<Integer, ArrayDeque<ConnectionRequest>> lines = new TreeMap<>();
  private int length;

  void add(ConnectionRequest request) {
    lines.computeIfAbsent(request.priority(), key -> new ArrayDeque<>()).addLast(request);
    length++;
  }

  /** Returns the first request of the most urgent rank that may start. */
  @Nullable ConnectionRequest poll(IntPredicate mayStart) {
    for (Map.Entry<Integer, ArrayDeque<ConnectionRequest>> line : lines.entrySet()) {
      if (!line.getValue().isEmpty() && mayStart.test(line.getKey())) {
        length--;
        return line.getValue().pollFirst();
      }
    }
    return null;
  }

  /** Returns how many requests of a rank wait. */
  int waiting(int priority) {
    @Nullable ArrayDeque<ConnectionRequest> line = lines.get(priority);
    return line == null ? 0 : line.size();
  }

  boolean remove(ConnectionRequest request) {
    @Nullable ArrayDeque<ConnectionRequest> line = lines.get(request.priority());
    if (line == null || !line.remove(request)) {
      return false;
    }
    length--;
    return true;
  }

  /** Returns how many requests a newcomer of a rank would wait for. */
  int ahead(int priority) {
    int count = 0;
    for (Map.Entry<Integer, ArrayDeque<ConnectionRequest>> line : lines.entrySet()) {
      if (line.getKey() <= priority) {
        count += line.getValue().size();
      }
    }
    return count;
  }

  int length() {
    return length;
  }

  List<ConnectionRequest> drain() {
    List<ConnectionRequest> all = new ArrayList<>();
    lines.values().forEach(all::addAll);
    lines.clear();
    length = 0;
    return all;
  }
}
