package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against processes that compute different homes from the same host list. */
class RendezvousTest {
  private static final int DOMAINS = 4;

  private static List<Host> hosts(int count) {
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      hosts.add(
          new Host(
              "h" + i,
              "127.0.0.1",
              1,
              1,
              1,
              "d" + i % DOMAINS,
              "r",
              HostRole.PROXY,
              HostState.LIVE,
              List.of()));
    }
    return hosts;
  }

  /** The definition: rank each host within its domain, order by that rank, then by weight. */
  private static List<Host> byDefinition(String name, List<Host> hosts, int count) {
    Comparator<Host> byWeight =
        Comparator.<Host>comparingLong(host -> Rendezvous.weight(name, host.id())).reversed();
    Map<String, Integer> seen = new HashMap<>();
    Map<Host, Integer> rounds = new HashMap<>();
    hosts.stream()
        .sorted(byWeight)
        .forEach(host -> rounds.put(host, seen.merge(host.domain(), 1, Integer::sum)));
    return hosts.stream()
        .sorted(Comparator.<Host, Integer>comparing(rounds::get).thenComparing(byWeight))
        .limit(count)
        .toList();
  }

  @Test
  void selectsTheBestOfEachDomainFirstWhateverTheOrderOfTheList() {
    Random random = new Random(3);
    for (int i = 0; i < 1_000; i++) {
      List<Host> hosts = hosts(1 + random.nextInt(20));
      Collections.shuffle(hosts, random);
      int count = 1 + random.nextInt(6);
      assertEquals(byDefinition("g" + i, hosts, count), Rendezvous.select("g" + i, hosts, count));
    }
  }

  @Test
  void aHostThatLeavesMovesOnlyItsOwnNames() {
    List<Host> before = hosts(20);
    List<Host> after = before.subList(0, 19);
    for (int i = 0; i < 500; i++) {
      List<Host> selected = Rendezvous.select("g" + i, before, 3);
      if (!selected.contains(before.get(19))) {
        assertEquals(selected, Rendezvous.select("g" + i, after, 3));
      }
    }
  }
}
