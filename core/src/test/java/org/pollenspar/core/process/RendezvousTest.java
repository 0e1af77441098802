package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against proxies that select different homes for a group although their host lists are
 * equal.
 */
class RendezvousTest {
  private static final int GROUPS = 200;

  private static List<Host> hosts(int count, int domains) {
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      hosts.add(
          new Host(
              "proxy-" + i,
              "127.0.0.1",
              1,
              2,
              3,
              "domain-" + i % domains,
              "region",
              HostRole.PROXY,
              HostState.LIVE,
              List.of()));
    }
    return hosts;
  }

  @Nested
  class Selection {

    @Test
    void doesNotDependOnTheOrderOfTheList() {
      List<Host> hosts = hosts(17, 4);
      List<Host> shuffled = new ArrayList<>(hosts);
      Collections.shuffle(shuffled, new Random(7));
      for (int g = 0; g < GROUPS; g++) {
        assertEquals(
            Rendezvous.select("group-" + g, hosts, 6),
            Rendezvous.select("group-" + g, shuffled, 6));
      }
    }

    @Test
    void usesDistinctDomainsFirst() {
      for (int g = 0; g < GROUPS; g++) {
        List<Host> selected = Rendezvous.select("group-" + g, hosts(17, 4), 6);
        assertEquals(6, selected.stream().distinct().count());
        assertEquals(4, selected.stream().limit(4).map(Host::domain).distinct().count());
      }
    }

    @Test
    void returnsAllHostsIfThereAreFewer() {
      assertEquals(2, Rendezvous.select("group", hosts(2, 1), 3).size());
      assertEquals(List.of(), Rendezvous.select("group", List.of(), 3));
    }
  }

  @Nested
  class Change {

    @Test
    void movesOnlyGroupsOfTheHostThatLeft() {
      List<Host> before = hosts(17, 17);
      List<Host> after = before.stream().filter(h -> !h.id().equals("proxy-5")).toList();
      for (int g = 0; g < GROUPS; g++) {
        List<Host> homes = Rendezvous.select("group-" + g, before, 3);
        if (homes.stream().noneMatch(h -> h.id().equals("proxy-5"))) {
          assertEquals(homes, Rendezvous.select("group-" + g, after, 3));
        }
      }
    }

    @Test
    void spreadsGroupsOverHosts() {
      int[] load = new int[17];
      for (int g = 0; g < GROUPS; g++) {
        for (Host home : Rendezvous.select("group-" + g, hosts(17, 4), 3)) {
          load[Integer.parseInt(home.id().substring("proxy-".length()))]++;
        }
      }
      for (int count : load) {
        assertTrue(count > 10 && count < 80, "groups on one host: " + count);
      }
    }
  }
}
