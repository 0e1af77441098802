package org.pollenspar.proxy.connection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.request.Admission;
import org.pollenspar.core.request.AdmissionQueue;
import org.pollenspar.core.request.Rank;

/**
 * The waiting requests of one home: a queue for the primary, a queue for the replicas, and the
 * parked requests, which no database can serve yet. Driven by the control thread.
 *
 * <p>A request waits in at most one of the three. An unstarted request is refused instead of being
 * parked if as many requests of its rank are parked as the rank's queue limit; a started request is
 * always parked.
 */
final class HomeQueues {

  /** The databases that the requests of a queue are sent to. */
  enum Destination {
    PRIMARY,
    REPLICAS
  }

  private final Set<PendingRequest> parked = new HashSet<>();
  private final Map<Integer, Integer> parkedByLevel = new HashMap<>();
  private List<Rank> ranks;
  private final AdmissionQueue<PendingRequest> primary;
  private final AdmissionQueue<PendingRequest> replicas;

  HomeQueues(HomePolicy policy, Collection<Rank> declared) {
    this.ranks = List.copyOf(declared);
    this.primary = policy.newQueue(ranks);
    this.replicas = policy.newQueue(ranks);
  }

  /** Applies the ranks of a new configuration version; waiting requests stay. */
  void update(Collection<Rank> declared) {
    ranks = List.copyOf(declared);
    primary.setRanks(ranks);
    replicas.setRanks(ranks);
  }

  private AdmissionQueue<PendingRequest> queue(Destination destination) {
    return destination == Destination.PRIMARY ? primary : replicas;
  }

  Admission offer(Destination destination, PendingRequest pending, long nowNanos) {
    return queue(destination)
        .offer(pending, pending.rank(), pending.request().deadlineNanos(), nowNanos);
  }

  void putBack(Destination destination, PendingRequest pending, long nowNanos) {
    queue(destination)
        .putBack(pending, pending.rank(), pending.request().deadlineNanos(), nowNanos);
  }

  /** Removes and returns the next request to run; never one whose deadline has passed. */
  Optional<PendingRequest> poll(Destination destination, long nowNanos) {
    return queue(destination).poll(nowNanos);
  }

  void completed(Destination destination, Rank rank, long serviceNanos, long nowNanos) {
    queue(destination).completed(rank, serviceNanos, nowNanos);
  }

  void setConcurrency(Destination destination, int concurrency) {
    queue(destination).setConcurrency(concurrency);
  }

  int length(Destination destination) {
    return queue(destination).length();
  }

  int parkedCount() {
    return parked.size();
  }

  /** Returns the number of waiting requests, queued or parked. */
  int length() {
    return primary.length() + replicas.length() + parked.size();
  }

  Map<String, Integer> lengthByRank(Destination destination) {
    Map<String, Integer> lengths = new HashMap<>();
    ranks.forEach(rank -> lengths.put(rank.name(), queue(destination).length(rank)));
    return lengths;
  }

  /**
   * Parks a request until a probe shows that a database can serve it.
   *
   * @return the reason if the request is refused because its rank has reached its queue limit
   */
  Optional<ErrorKind> park(PendingRequest pending) {
    int level = pending.rank().level();
    int sameRank = parkedByLevel.getOrDefault(level, 0);
    if (!pending.started() && sameRank >= pending.rank().queueLimit()) {
      return Optional.of(ErrorKind.QUEUE_FULL);
    }
    if (parked.add(pending)) {
      parkedByLevel.merge(level, 1, Integer::sum);
    }
    return Optional.empty();
  }

  /** Removes and returns all parked requests in order of arrival. */
  List<PendingRequest> takeParked() {
    List<PendingRequest> taken = new ArrayList<>(parked);
    taken.sort((a, b) -> Long.signum(a.request().arrivalNanos() - b.request().arrivalNanos()));
    parked.clear();
    parkedByLevel.clear();
    return taken;
  }

  /** Removes and returns the requests whose deadline has passed. */
  List<PendingRequest> expire(long nowNanos) {
    List<PendingRequest> expired = new ArrayList<>(primary.expire(nowNanos));
    expired.addAll(replicas.expire(nowNanos));
    expired.addAll(takeParked(pending -> pending.expired(nowNanos)));
    return expired;
  }

  /** Removes and returns the requests that have not started; started ones keep waiting. */
  List<PendingRequest> takeUnstarted(long nowNanos) {
    List<PendingRequest> unstarted = new ArrayList<>();
    for (Destination destination : Destination.values()) {
      for (PendingRequest pending : queue(destination).drain()) {
        if (pending.started()) {
          putBack(destination, pending, nowNanos);
        } else {
          unstarted.add(pending);
        }
      }
    }
    unstarted.addAll(takeParked(pending -> !pending.started()));
    return unstarted;
  }

  /** Removes and returns all waiting requests, queued or parked. */
  List<PendingRequest> takeAll() {
    List<PendingRequest> taken = takeParked();
    for (Destination destination : Destination.values()) {
      taken.addAll(queue(destination).drain());
    }
    return taken;
  }

  private List<PendingRequest> takeParked(Predicate<PendingRequest> condition) {
    List<PendingRequest> taken = parked.stream().filter(condition).toList();
    for (PendingRequest pending : taken) {
      parked.remove(pending);
      parkedByLevel.merge(pending.rank().level(), -1, Integer::sum);
    }
    return taken;
  }
}
