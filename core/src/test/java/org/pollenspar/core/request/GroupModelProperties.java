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
 * Random histories of one group. {@code mvn -o -B -pl core -am verify -Dpollenspar.tries=10000}
 * runs 10,000; a failure names the seed of its history, which {@code new GroupModel(seed).run()}
 * repeats.
 */
class GroupModelProperties {
  private static final int BATCHES = 20;
  private static final int BATCH =
      Math.max(1, Integer.getInteger("pollenspar.tries", 400) / BATCHES);

  private static final Set<Long> SEEDS = new HashSet<>();

  @Property(
      seed = "20261204",
      tries = BATCHES,
      shrinking = ShrinkingMode.OFF,
      edgeCases = EdgeCasesMode.NONE)
  void promisesHold(@ForAll("seeds") long firstSeed) {
    for (long seed = firstSeed; seed < firstSeed + BATCH; seed++) {
      SEEDS.add(seed);
      try {
        new GroupModel(seed).run();
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("history " + seed + ": " + e.getMessage(), e);
      }
    }
  }

  /** Uniform, since jqwik prefers small numbers and batches of neighbours would overlap. */
  @Provide
  static Arbitrary<Long> seeds() {
    return Arbitraries.longs().withDistribution(RandomDistribution.uniform());
  }

  /** Guards against a model that passes because nothing happens in it. */
  @AfterContainer
  static void historiesWereNotEmpty() {
    assertEquals(BATCHES * BATCH, SEEDS.size(), "histories must differ");
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
