package org.pollenspar.core.version;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against a version that goes back or does not reach every process (invariant P9), and
 * against calls to the platform that grow with the fleet.
 *
 * <p>{@code -Dpollenspar.tries=N} adds one fleet per 100 tries. {@code mvn -o -q -B -pl core test
 * -Dtest=GossipProtocolProperties} writes {@code core/target/spreader-convergence.csv}.
 */
class GossipProtocolProperties {
  /** Rounds of one second; the digest exchange alone takes about log2(900) = 10 of them. */
  private static final int MAX_ROUNDS = 20;

  private static final int FAULT_MILLIS = 90_000;

  /** A fleet takes over a second to compute, a history of other tests some milliseconds. */
  private static final int TRIES_PER_FLEET = 100;

  @Property(seed = "51", tries = 8)
  void faultsNeverMoveAVersionBack(@ForAll long seed) {
    runWithFaults(seed);
  }

  @Example
  void longRun() {
    int fleets = Integer.getInteger("pollenspar.tries", 0) / TRIES_PER_FLEET;
    for (long seed = 1; seed <= fleets; seed++) {
      runWithFaults(seed);
    }
  }

  private static void runWithFaults(long seed) {
    Random random = new Random(seed);
    GossipSimulation fleet = new GossipSimulation(50 + random.nextInt(851), seed);
    fleet.publishConfiguration();
    fleet.run(2_000);
    fleet.loss = random.nextInt(20) / 100.0;
    scheduleAtRandomTimes(fleet, random, random.nextInt(8), fleet::publishConfiguration);
    scheduleAtRandomTimes(fleet, random, random.nextInt(3), fleet::publishHosts);
    scheduleAtRandomTimes(fleet, random, random.nextInt(20), () -> restart(fleet, random));
    scheduleAtRandomTimes(
        fleet, random, random.nextInt(3), () -> fleet.platformUp = !fleet.platformUp);
    scheduleAtRandomTimes(
        fleet, random, random.nextInt(3), () -> fleet.regionCut = !fleet.regionCut);
    fleet.run(FAULT_MILLIS);
    fleet.platformUp = true;
    fleet.regionCut = false;
    fleet.publishConfiguration();
    long millis = fleet.millisUntilConverged(MAX_ROUNDS * 1_000L);
    assertTrue(fleet.converged(), () -> "not converged after " + millis + " ms, seed " + seed);
  }

  private static void scheduleAtRandomTimes(
      GossipSimulation fleet, Random random, int times, Runnable task) {
    for (int i = 0; i < times; i++) {
      fleet.after(random.nextInt(FAULT_MILLIS) * GossipSimulation.MILLI, task);
    }
  }

  private static void restart(GossipSimulation fleet, Random random) {
    GossipSimulation.Node node = fleet.nodes.get(random.nextInt(fleet.nodes.size()));
    node.kill();
    fleet.after(random.nextInt(5_000) * GossipSimulation.MILLI, node::start);
  }

  @Example
  void platformCallsDoNotGrowWithTheFleet() {
    for (int size : List.of(30, 900)) {
      GossipSimulation fleet = new GossipSimulation(size, 7);
      fleet.publishConfiguration();
      fleet.run(30_000);
      fleet.platformCalls = 0;
      fleet.run(60_000);
      // 8 watchers, two keys, one poll every 10 s.
      assertEquals(8 * 2 * 6, fleet.platformCalls, 16, "healthy, " + size + " nodes");
      fleet.platformUp = false;
      fleet.run(20_000);
      fleet.platformCalls = 0;
      fleet.run(60_000);
      // The watchers retry once a second. No other process calls, since the watchers answer
      // digests.
      assertEquals(8 * 2 * 60, fleet.platformCalls, 16, "outage, " + size + " nodes");
    }
  }

  @Example
  void deadWatchersAreBypassedAndThenReplaced() {
    GossipSimulation fleet = new GossipSimulation(60, 3);
    fleet.publishConfiguration();
    fleet.run(5_000);
    List<GossipSimulation.Node> watchers =
        fleet.nodes.stream().filter(n -> n.gossip.watching()).toList();
    assertEquals(8, watchers.size());
    watchers.forEach(GossipSimulation.Node::kill);
    fleet.publishConfiguration();
    long bypassMillis = fleet.millisUntilConverged(MAX_ROUNDS * 1_000L);
    assertTrue(fleet.converged(), "the other processes must read the platform themselves");
    assertTrue(
        bypassMillis > 1_000,
        "a process read the platform before its contact timeout; converged after ms: "
            + bypassMillis);
    watchers.forEach(node -> node.listed = false);
    fleet.publishHosts();
    fleet.run(30_000);
    assertEquals(8, fleet.nodes.stream().filter(n -> n.alive && n.gossip.watching()).count());
  }

  @Example
  void otherDomainsWatchersServeADomainWhoseWatchersAreDown() {
    GossipSimulation fleet = new GossipSimulation(300, 13);
    fleet.publishConfiguration();
    fleet.run(20_000);
    fleet.nodes.stream()
        .filter(n -> n.host.domain().equals("d0") && n.gossip.watching())
        .forEach(GossipSimulation.Node::kill);
    fleet.run(10_000);
    fleet.platformCalls = 0;
    fleet.run(60_000);
    assertEquals(6 * 2 * 6, fleet.platformCalls, 12);
    fleet.publishConfiguration();
    fleet.millisUntilConverged(MAX_ROUNDS * 1_000L);
    assertTrue(fleet.converged());
  }

  @Example
  void startsFromAPeerWhileThePlatformIsDown() {
    GossipSimulation fleet = new GossipSimulation(30, 5);
    fleet.publishConfiguration();
    fleet.run(3_000);
    GossipSimulation.Node node = fleet.nodes.get(4);
    node.kill();
    node.start();
    fleet.run(4);
    fleet.platformUp = false;
    assertTrue(fleet.millisUntilConverged(5_000) < 5_000);
  }

  @Example
  void isolatedOnlyWithoutAnyContact() {
    GossipSimulation fleet = new GossipSimulation(40, 9);
    fleet.publishConfiguration();
    fleet.run(3_000);
    fleet.regionCut = true;
    fleet.run(30_000);
    assertTrue(fleet.nodes.stream().noneMatch(n -> isolated(fleet, n)));
    fleet.regionCut = false;
    fleet.loss = 1;
    fleet.platformUp = false;
    fleet.run(30_000);
    assertTrue(fleet.nodes.stream().allMatch(n -> isolated(fleet, n)));
  }

  private static boolean isolated(GossipSimulation fleet, GossipSimulation.Node node) {
    return node.gossip.isolated(fleet.nowMillis() * GossipSimulation.MILLI);
  }

  @Example
  void convergenceBySize() throws IOException {
    StringBuilder csv =
        new StringBuilder("nodes,loss,rounds,millis,messages_per_node,idle_messages_per_node_s\n");
    for (int size : List.of(30, 100, 300, 900)) {
      for (double loss : List.of(0.0, 0.1)) {
        GossipSimulation fleet = new GossipSimulation(size, 11);
        fleet.publishConfiguration();
        fleet.run(10_000);
        fleet.loss = loss;
        fleet.messages = 0;
        fleet.run(10_000);
        double idleMessages = fleet.messages / 10.0 / size;
        fleet.messages = 0;
        fleet.publishConfiguration();
        long millis = fleet.millisUntilConverged(MAX_ROUNDS * 1_000L);
        assertTrue(fleet.converged());
        double messagesPerNode = fleet.messages / (double) size;
        csv.append(
            "%d,%.1f,%d,%d,%.1f,%.1f\n"
                .formatted(
                    size, loss, (millis + 999) / 1_000, millis, messagesPerNode, idleMessages));
      }
    }
    Files.writeString(Path.of("target/spreader-convergence.csv"), csv);
  }
}
