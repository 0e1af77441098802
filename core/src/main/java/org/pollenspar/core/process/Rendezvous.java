package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Rendezvous (highest random weight) hashing of names to hosts that prefers distinct failure
 * domains.
 *
 * <p>All processes with the same host list compute the same order without exchanging messages. When
 * a host leaves, only the names that were assigned to it move; modulo hashing would move nearly all
 * names.
 *
 * <p>Each selection scans all hosts once per selected host instead of sorting them, because few
 * hosts are selected and the selection is repeated for all groups after each change of the host
 * list.
 */
public final class Rendezvous {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Rendezvous() {}

  /**
   * Returns up to {@code count} hosts for a name. The best host of each failure domain comes first;
   * once all domains are used, the second best of each follow, and so on.
   */
  public static List<Host> select(String name, Collection<Host> hosts, int count) {
    Host[] candidates = hosts.toArray(new Host[0]);
    long[] weights = weights(name, candidates);
    boolean[] taken = new boolean[candidates.length];
    Set<String> usedDomains = new HashSet<>();
    List<Host> selected = new ArrayList<>(count);
    while (selected.size() < Math.min(count, candidates.length)) {
      int best = best(candidates, weights, taken, usedDomains);
      if (best < 0) {
        usedDomains.clear();
      } else {
        taken[best] = true;
        usedDomains.add(candidates[best].domain());
        selected.add(candidates[best]);
      }
    }
    return List.copyOf(selected);
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

  private static int best(
      Host[] candidates, long[] weights, boolean[] taken, Set<String> usedDomains) {
    int best = -1;
    for (int i = 0; i < candidates.length; i++) {
      boolean better =
          best < 0
              || weights[i] > weights[best]
              || (weights[i] == weights[best]
                  && candidates[i].id().compareTo(candidates[best].id()) < 0);
      if (!taken[i] && better && !usedDomains.contains(candidates[i].domain())) {
        best = i;
      }
    }
    return best;
  }

  private static long[] weights(String name, Host[] candidates) {
    long prefix = hash(FNV_OFFSET, name + '\0');
    long[] weights = new long[candidates.length];
    for (int i = 0; i < candidates.length; i++) {
      weights[i] = mix(hash(prefix, candidates[i].id()));
    }
    return weights;
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
