package org.pollenspar.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;

/**
 * Guards against violations of the invariants P1, P2, P5 and P6 (see {@link
 * org.pollenspar.core.process.Invariant}) and of the staleness bound in random histories of one
 * group with lost and delayed messages, network partitions and failovers. {@code mvn -o -B -pl core
 * -am verify -Dpollenspar.tries=10000} runs 10,000 histories. A failure names the seed of its
 * history; {@code new GroupModel(seed).run()} repeats it.
 */
class GroupModelProperties {
  private static final int BATCHES = 20;
  private static final int HISTORIES_PER_BATCH =
      Math.max(1, Integer.getInteger("pollenspar.tries", 400) / BATCHES);

  private static final Set<Long> SEEDS = new HashSet<>();

  @Property(
      seed = "20261204",
      tries = BATCHES,
      shrinking = ShrinkingMode.OFF,
      edgeCases = EdgeCasesMode.NONE)
  void guaranteesHold(@ForAll("seeds") long firstSeed) {
    for (long seed = firstSeed; seed < firstSeed + HISTORIES_PER_BATCH; seed++) {
      SEEDS.add(seed);
      try {
        new GroupModel(seed).run();
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("history " + seed + ": " + e.getMessage(), e);
      }
    }
  }

  /** Uniform, since jqwik prefers small numbers and batches of close seeds would overlap. */
  @Provide
  static Arbitrary<Long> seeds() {
    return Arbitraries.longs().withDistribution(RandomDistribution.uniform());
  }

  /** Guards against histories that hold because too little happens in them. */
  @AfterContainer
  static void historiesAreNotEmpty() {
    assertEquals(BATCHES * HISTORIES_PER_BATCH, SEEDS.size(), "histories must differ");
    System.out.println(SEEDS.size() + " histories: " + GroupModel.COUNTS);
    List<String> needed =
        List.of(
            "promotions",
            "reads by primary",
            "reads by replica",
            "reads refused",
            "reads repeated",
            "writes Done",
            "writes NotRun",
            "writes NotRun KEY_REUSED",
            "writes NotRun ROW_COUNT_MISMATCH",
            "writes Unknown");
    assertTrue(GroupModel.COUNTS.keySet().containsAll(needed), GroupModel.COUNTS::toString);
  }
}
