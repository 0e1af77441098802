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
 * What waits at one home for one group: a queue for the primary, one for the replicas, and the
 * requests that cannot run on any database yet. Driven by the control thread.
 */
final class HomeQueues {

  /** The direction that a queue feeds. */
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

  /** Takes the ranks of a new configuration version; what waits stays. */
  void update(Collection<Rank> declared) {
    ranks = List.copyOf(declared);
    primary.setRanks(ranks);
    replicas.setRanks(ranks);
  }

  private AdmissionQueue<PendingRequest> queue(Destination lane) {
    return lane == Destination.PRIMARY ? primary : replicas;
  }

  Admission offer(Destination lane, PendingRequest ticket, long nowNanos) {
    return queue(lane).offer(ticket, ticket.rank(), ticket.request().deadlineNanos(), nowNanos);
  }

  void putBack(Destination lane, PendingRequest ticket, long nowNanos) {
    queue(lane).putBack(ticket, ticket.rank(), ticket.request().deadlineNanos(), nowNanos);
  }

  /** Returns the next request that still waits for an answer. */
  Optional<PendingRequest> poll(Destination lane, long nowNanos) {
    return queue(lane).poll(nowNanos);
  }

  void completed(Destination lane, Rank rank, long serviceNanos, long nowNanos) {
    queue(lane).completed(rank, serviceNanos, nowNanos);
  }

  void concurrency(Destination lane, int concurrency) {
    queue(lane).setConcurrency(concurrency);
  }

  int length(Destination lane) {
    return queue(lane).length();
  }

  int parkedCount() {
    return parked.size();
  }

  /** Returns how many requests wait in all. */
  int length() {
    return primary.length() + replicas.length() + parked.size();
  }

  Map<String, Integer> lengthByRank(Destination lane) {
    Map<String, Integer> lengths = new HashMap<>();
    ranks.forEach(rank -> lengths.put(rank.name(), queue(lane).length(rank)));
    return lengths;
  }

  /**
   * Keeps a request until a probe changes what is known; refused if its rank has as many waiting as
   * its queue allows.
   */
  Optional<ErrorKind> park(PendingRequest ticket) {
    int level = ticket.rank().level();
    int sameRank = parkedByLevel.getOrDefault(level, 0);
    if (!ticket.started() && sameRank >= ticket.rank().queueLimit()) {
      return Optional.of(ErrorKind.QUEUE_FULL);
    }
    if (parked.add(ticket)) {
      parkedByLevel.merge(level, 1, Integer::sum);
    }
    return Optional.empty();
  }

  /** Removes and returns all parked requests. */
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
    expired.addAll(takeParked(ticket -> ticket.expired(nowNanos)));
    return expired;
  }

  /** Removes and returns the requests that have not started; the others stay. */
  List<PendingRequest> takeUnstarted(long nowNanos) {
    List<PendingRequest> unstarted = new ArrayList<>();
    for (Destination lane : Destination.values()) {
      for (PendingRequest ticket : queue(lane).drain()) {
        if (ticket.started()) {
          putBack(lane, ticket, nowNanos);
        } else {
          unstarted.add(ticket);
        }
      }
    }
    unstarted.addAll(takeParked(ticket -> !ticket.started()));
    return unstarted;
  }

  private List<PendingRequest> takeParked(Predicate<PendingRequest> condition) {
    List<PendingRequest> taken = parked.stream().filter(condition).toList();
    for (PendingRequest ticket : taken) {
      parked.remove(ticket);
      parkedByLevel.merge(ticket.rank().level(), -1, Integer::sum);
    }
    return taken;
  }
}
