package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;

/**
 * Rendezvous (highest random weight) hashing of names to hosts that prefers distinct failure
 * domains.
 *
 * <p>All processes with the same host list compute the same order without exchanging messages. When
 * a host leaves, only the names that were assigned to it move; modulo hashing would move nearly all
 * names.
 *
 * <p>A host of twice the capacity is selected for twice as many names: its weight is the capacity
 * divided by the negative logarithm of its hash as a fraction of the largest hash.
 *
 * <p>Each selection scans all hosts once per selected host instead of sorting them, because few
 * hosts are selected and the selection is repeated for all groups after each change of the host
 * list.
 */
public final class Rendezvous {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private static final double MAX_HASH = Long.MAX_VALUE;

  /** Largest fraction whose logarithm isn't 0. */
  private static final double MAX_FRACTION = Math.nextDown(1.0);

  /** A host that may be selected. */
  private record Candidate<T>(T host, String id, String domain, double weight) {}

  private Rendezvous() {}

  /**
   * Returns up to {@code count} hosts for a name. The best host of each failure domain comes first;
   * once all domains are used, the second best of each follow, and so on.
   */
  public static List<Host> select(String name, Collection<Host> hosts, int count) {
    return select(name, hosts, count, Host::id, Host::domain, host -> 1);
  }

  /** Returns up to {@code count} hosts for a name, with regard to their capacities. */
  public static <T> List<T> select(
      String name,
      Collection<T> hosts,
      int count,
      Function<T, String> id,
      Function<T, String> domain,
      ToDoubleFunction<T> capacity) {
    long prefix = hash(FNV_OFFSET, name + '\0');
    List<Candidate<T>> candidates = new ArrayList<>(hosts.size());
    for (T host : hosts) {
      double fraction = (mix(hash(prefix, id.apply(host))) + 0.5) / MAX_HASH;
      double weight = capacity.applyAsDouble(host) / -Math.log(Math.min(fraction, MAX_FRACTION));
      candidates.add(new Candidate<>(host, id.apply(host), domain.apply(host), weight));
    }
    Set<String> usedDomains = new HashSet<>();
    List<T> selected = new ArrayList<>(count);
    while (selected.size() < count && !candidates.isEmpty()) {
      @Nullable Candidate<T> best = best(candidates, usedDomains);
      if (best == null) {
        usedDomains.clear();
      } else {
        candidates.remove(best);
        usedDomains.add(best.domain());
        selected.add(best.host());
      }
    }
    return List.copyOf(selected);
  }

  /** Returns the weight of an id for a name; higher ones are preferred. */
  public static long weight(String name, String id) {
    return mix(hash(hash(FNV_OFFSET, name + '\0'), id));
  }

  /** Returns the id with the highest weight for a name; null if there are none. */
  public static @Nullable String first(String name, Collection<String> ids) {
    long prefix = hash(FNV_OFFSET, name + '\0');
    @Nullable String best = null;
    long bestWeight = 0;
    for (String id : ids) {
      long weight = mix(hash(prefix, id));
      if (best == null || weight > bestWeight || (weight == bestWeight && id.compareTo(best) < 0)) {
        best = id;
        bestWeight = weight;
      }
    }
    return best;
  }

  private static <T> @Nullable Candidate<T> best(
      List<Candidate<T>> candidates, Set<String> usedDomains) {
    @Nullable Candidate<T> best = null;
    for (Candidate<T> each : candidates) {
      boolean better =
          best == null
              || each.weight() > best.weight()
              || (each.weight() == best.weight() && each.id().compareTo(best.id()) < 0);
      if (better && !usedDomains.contains(each.domain())) {
        best = each;
      }
    }
    return best;
  }

  private static long hash(long start, String text) {
    long hash = start;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }

  /** Mixes the bits of a hash. Without it FNV-1a orders similar ids alike for similar names. */
  private static long mix(long hash) {
    long mixed = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return (mixed ^ (mixed >>> 33)) >>> 1;
  }
}
