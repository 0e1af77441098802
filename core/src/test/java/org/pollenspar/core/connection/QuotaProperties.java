package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.pollenspar.core.version.Organisation.RateLimit;

/**
 * Guards against hosts that together run more operations of an organisation than its limit permits
 * while hosts fail, restart, are cut off or change, and against refusals below the limit.
 */
class QuotaProperties {
  private static final int HOSTS = 6;

  @Property(tries = 60, seed = "20261206", shrinking = ShrinkingMode.OFF)
  void noWindowExceedsTheLimitDuringFaults(
      @ForAll @IntRange(max = 1_000_000) int seed, @ForAll @IntRange(min = 5, max = 300) int rate) {
    QuotaSimulation fleet =
        new QuotaSimulation(seed, HOSTS, new RateLimit(rate, 1 + seed % (rate + 1)));
    List<String> history = new ArrayList<>();
    int started = HOSTS;
    for (int i = 0; i < 14; i++) {
      long at = fleet.now();
      history.add(at + " " + disrupt(fleet, started++));
      fleet.load(3 * rate, 200 + fleet.random.nextInt(4_000));
    }
    assertNull(fleet.violation(), () -> history + events(fleet));
    assertTrue(!fleet.grants.isEmpty(), "nothing was granted");
  }

  private static String events(QuotaSimulation fleet) {
    StringBuilder text = new StringBuilder();
    fleet.hosts.forEach((name, host) -> text.append('\n').append(name).append(host.events));
    return text.toString();
  }

  private static String disrupt(QuotaSimulation fleet, int next) {
    List<String> names = List.copyOf(fleet.hosts.keySet());
    String one = names.get(fleet.random.nextInt(names.size()));
    switch (fleet.random.nextInt(8)) {
      case 0 -> {
        fleet.crash(one);
        fleet.time.after(fleet.random.nextInt(6_000), () -> fleet.start(one));
        return "crash and restart " + one;
      }
      case 1 -> {
        fleet.start("h" + next);
        return "add h" + next;
      }
      case 2 -> {
        if (names.size() > 3) {
          fleet.leave(one);
        }
        return "leave " + one;
      }
      case 3 -> {
        names.forEach(other -> fleet.cut(one, other));
        fleet.cuts.remove(one + ">" + one);
        fleet.withoutStore.add(one);
        return "isolate " + one;
      }
      case 4 -> {
        String other = names.get(fleet.random.nextInt(names.size()));
        fleet.cuts.add(one + ">" + other);
        return "cut one way " + one + " to " + other;
      }
      case 5 -> {
        double rate = 5 + fleet.random.nextInt(300);
        fleet.limit(new RateLimit(rate, 1 + fleet.random.nextInt((int) rate)));
        return "limit " + rate;
      }
      case 6 -> {
        return partition(fleet, names);
      }
      default -> {
        fleet.heal();
        return "heal";
      }
    }
  }

  /** Cuts the hosts of one failure domain off from all others and from the store. */
  private static String partition(QuotaSimulation fleet, List<String> names) {
    int domain = fleet.random.nextInt(3);
    List<String> inside =
        names.stream().filter(name -> name.charAt(name.length() - 1) % 3 == domain).toList();
    for (String name : inside) {
      fleet.withoutStore.add(name);
      names.stream()
          .filter(other -> !inside.contains(other))
          .forEach(other -> fleet.cut(name, other));
    }
    return "partition " + inside;
  }

  /** Guards against refusals of an organisation that uses its window up evenly. */
  @Property(tries = 20, seed = "20261206", shrinking = ShrinkingMode.OFF)
  void withoutFaultsNothingBelowTheLimitIsRefused(
      @ForAll @IntRange(max = 1_000_000) int seed,
      @ForAll @IntRange(min = 20, max = 300) int rate) {
    QuotaSimulation fleet = new QuotaSimulation(seed, HOSTS, new RateLimit(rate, rate));
    fleet.load(0.7 * rate, 3_000);
    fleet.resetCounts();
    fleet.load(1.1 * rate, 20_000);
    assertEquals(List.of(), fleet.refusals);
    assertNull(fleet.violation());
  }
}
