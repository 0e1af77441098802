package org.pollenspar.proxy.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.pollenspar.core.process.Host;

/**
 * Orders the homes of a group for one request. Safe for use by several threads.
 *
 * <p>The first home is the better one of two candidates: a home in this proxy's failure domain, if
 * there is one, and a random home. The other homes follow, then those that failed within the last
 * second, then proxies that are no homes according to this proxy's host list.
 *
 * <p>Homes are compared by the queue lengths that they reported with their last answers. Always
 * taking the shortest queue would make all proxies choose the same home until the next reports; the
 * choice between two candidates does not.
 */
final class HomeSelector {
  private static final long AVOID_NANOS = 1_000_000_000L;

  /**
   * Added to the queue length of a home in another failure domain: reaching it takes about as long
   * as a few queued requests.
   */
  private static final int OTHER_DOMAIN_PENALTY = 4;

  private final String ownId;
  private final String ownDomain;
  private final RandomGenerator random;
  private final Map<String, Long> avoidedUntil = new ConcurrentHashMap<>();
  private final Map<String, Integer> queueLengths = new ConcurrentHashMap<>();

  HomeSelector(String ownId, String ownDomain, RandomGenerator random) {
    this.ownId = ownId;
    this.ownDomain = ownDomain;
    this.random = random;
  }

  /** Records that a peer did not answer; it is avoided for 1 s, or until it answers. */
  void recordFailure(String hostId, long nowNanos) {
    avoidedUntil.put(hostId, nowNanos + AVOID_NANOS);
  }

  /** Records the queue length that a home reported with an answer. */
  void recordQueueLength(String group, String hostId, int length) {
    avoidedUntil.remove(hostId);
    queueLengths.put(group + "@" + hostId, length);
  }

  /**
   * Returns the order in which to ask the homes.
   *
   * @param homes homes of the group
   * @param others further proxies that accept requests for the group
   */
  List<Host> order(String group, List<Host> homes, List<Host> others, long nowNanos) {
    List<Host> good = new ArrayList<>();
    List<Host> avoided = new ArrayList<>();
    for (Host home : homes) {
      (avoided(home.id(), nowNanos) ? avoided : good).add(home);
    }
    List<Host> ordered = new ArrayList<>();
    if (!good.isEmpty()) {
      Host first = firstChoice(group, good);
      ordered.add(first);
      good.remove(first);
    }
    ordered.addAll(good);
    ordered.addAll(avoided);
    ordered.addAll(others);
    return ordered;
  }

  private Host firstChoice(String group, List<Host> good) {
    Host near =
        good.stream()
            .filter(home -> home.domain().equals(ownDomain))
            .findFirst()
            .orElseGet(() -> good.get(random.nextInt(good.size())));
    Host other = good.get(random.nextInt(good.size()));
    return cost(group, other) < cost(group, near) ? other : near;
  }

  private int cost(String group, Host home) {
    int length = queueLengths.getOrDefault(group + "@" + home.id(), 0);
    return length + (home.domain().equals(ownDomain) ? 0 : OTHER_DOMAIN_PENALTY);
  }

  private boolean avoided(String hostId, long nowNanos) {
    Long until = avoidedUntil.get(hostId);
    return until != null && until - nowNanos > 0 && !hostId.equals(ownId);
  }
}
