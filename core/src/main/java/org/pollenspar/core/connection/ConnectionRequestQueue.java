package org.pollenspar.core.connection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Queue of connection requests, by rank and organisation; those of one rank and organisation are in
 * order of arrival.
 */
final class ConnectionRequestQueue {
  /** Requests by rank, then by organisation; without empty queues. */
  private final TreeMap<Integer, Map<String, ArrayDeque<ConnectionRequest>>> ranks =
      new TreeMap<>();

  private final Map<String, Integer> waiting = new HashMap<>();
  private int length;

  void add(ConnectionRequest request) {
    ranks
        .computeIfAbsent(request.priority(), key -> new LinkedHashMap<>())
        .computeIfAbsent(request.organisation(), key -> new ArrayDeque<>())
        .addLast(request);
    waiting.merge(request.organisation(), 1, Integer::sum);
    length++;
  }

  /** Returns the ranks of which requests wait, the most urgent first. */
  List<Integer> ranks() {
    return List.copyOf(ranks.keySet());
  }

  /** Returns the organisations of which requests wait. */
  Set<String> organisations() {
    return Set.copyOf(waiting.keySet());
  }

  /** Returns the organisations of which requests of a rank wait. */
  Set<String> organisations(int priority) {
    return Set.copyOf(ranks.getOrDefault(priority, Map.of()).keySet());
  }

  /** Returns how many requests of an organisation wait. */
  int waiting(String organisation) {
    return waiting.getOrDefault(organisation, 0);
  }

  /** Returns the rank of the request of an organisation that {@code index} others are ahead of. */
  int rankAt(String organisation, int index) {
    int ahead = 0;
    for (Map.Entry<Integer, Map<String, ArrayDeque<ConnectionRequest>>> rank : ranks.entrySet()) {
      ahead += size(rank.getValue().get(organisation));
      if (ahead > index) {
        return rank.getKey();
      }
    }
    return Integer.MAX_VALUE;
  }

  /** Removes and returns the first request of a rank and organisation; null if there is none. */
  @Nullable ConnectionRequest poll(int priority, String organisation) {
    @Nullable Map<String, ArrayDeque<ConnectionRequest>> rank = ranks.get(priority);
    @Nullable ArrayDeque<ConnectionRequest> queue = rank == null ? null : rank.get(organisation);
    @Nullable ConnectionRequest first = queue == null ? null : queue.pollFirst();
    if (first != null) {
      removed(priority, organisation);
    }
    return first;
  }

  boolean remove(ConnectionRequest request) {
    @Nullable Map<String, ArrayDeque<ConnectionRequest>> rank = ranks.get(request.priority());
    @Nullable ArrayDeque<ConnectionRequest> queue =
        rank == null ? null : rank.get(request.organisation());
    if (queue == null || !queue.remove(request)) {
      return false;
    }
    removed(request.priority(), request.organisation());
    return true;
  }

  private void removed(int priority, String organisation) {
    length--;
    waiting.computeIfPresent(organisation, (key, count) -> count == 1 ? null : count - 1);
    Map<String, ArrayDeque<ConnectionRequest>> rank = ranks.getOrDefault(priority, Map.of());
    if (size(rank.get(organisation)) == 0) {
      rank.remove(organisation);
    }
    if (rank.isEmpty()) {
      ranks.remove(priority);
    }
  }

  /** Returns how many waiting requests of an organisation are served before a new one of a rank. */
  int requestsAhead(int priority, String organisation) {
    int count = 0;
    for (Map<String, ArrayDeque<ConnectionRequest>> rank : ranks.headMap(priority, true).values()) {
      count += size(rank.get(organisation));
    }
    return count;
  }

  /** Returns how many requests of other organisations are of a more urgent rank. */
  int moreUrgentOfOthers(int priority, String organisation) {
    int count = 0;
    for (Map<String, ArrayDeque<ConnectionRequest>> rank :
        ranks.headMap(priority, false).values()) {
      for (Map.Entry<String, ArrayDeque<ConnectionRequest>> queue : rank.entrySet()) {
        count += queue.getKey().equals(organisation) ? 0 : queue.getValue().size();
      }
    }
    return count;
  }

  /**
   * Returns how many requests of a rank start before a new one of an organisation, if the
   * organisations take turns.
   */
  int turnsAhead(int priority, String organisation) {
    Map<String, ArrayDeque<ConnectionRequest>> rank = ranks.getOrDefault(priority, Map.of());
    int own = size(rank.get(organisation));
    int count = own;
    for (Map.Entry<String, ArrayDeque<ConnectionRequest>> queue : rank.entrySet()) {
      if (!queue.getKey().equals(organisation)) {
        count += Math.min(own + 1, queue.getValue().size());
      }
    }
    return count;
  }

  private static int size(@Nullable ArrayDeque<ConnectionRequest> queue) {
    return queue == null ? 0 : queue.size();
  }

  int length() {
    return length;
  }

  /** Removes and returns all requests. */
  List<ConnectionRequest> drain() {
    List<ConnectionRequest> all = new ArrayList<>();
    ranks.values().forEach(rank -> rank.values().forEach(all::addAll));
    ranks.clear();
    waiting.clear();
    length = 0;
    return all;
  }

  /** Removes and returns all requests of callers; those of control commands stay. */
  List<ConnectionRequest> drainCallers() {
    List<ConnectionRequest> drained = new ArrayList<>();
    for (int rank : ranks()) {
      for (String organisation : rank < 0 ? Set.<String>of() : organisations(rank)) {
        for (@Nullable ConnectionRequest next = poll(rank, organisation);
            next != null;
            next = poll(rank, organisation)) {
          drained.add(next);
        }
      }
    }
    return drained;
  }

  /** Removes and returns all requests of an organisation. */
  List<ConnectionRequest> drain(String organisation) {
    List<ConnectionRequest> all = new ArrayList<>();
    for (int rank : ranks()) {
      for (@Nullable ConnectionRequest next = poll(rank, organisation);
          next != null;
          next = poll(rank, organisation)) {
        all.add(next);
      }
    }
    return all;
  }
}
