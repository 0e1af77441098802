package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against double promotions, lost acknowledged writes and groups left without a primary,
 * under random delays, pauses, lost answers and cut-off primaries.
 */
class FailoverProperties {
  private static final int TRIES = Integer.getInteger("pollenspar.tries", 150);
  private static final int FAULT_STEPS = 3_000;
  private static final int QUIET_STEPS = 1_500;

  @Property(tries = 1)
  void theInvariantsHoldUnderFaults() {
    for (int seed = 1; seed <= TRIES; seed++) {
      run(seed, 2 + seed % 2);
    }
  }

  @Property(tries = 20, seed = "7")
  void aCutOffPrimaryIsReplacedOnce(@ForAll @IntRange(min = 1, max = 1_000_000) int seed) {
    FailoverSimulation simulation = new FailoverSimulation(new Random(seed), 3, false);
    simulation.steps(200);
    simulation.cutPrimary();
    simulation.steps(600);
    assertTrue(simulation.promotions() == 1, "promotions " + simulation.promotions());
    assertTrue(simulation.led(), "no primary after 6 s");
  }

  private static void run(int seed, int agents) {
    FailoverSimulation simulation = new FailoverSimulation(new Random(seed), agents, true);
    try {
      simulation.steps(FAULT_STEPS);
      simulation.heal();
      simulation.steps(QUIET_STEPS);
      assertTrue(simulation.led(), "no primary although all faults have ended");
    } catch (AssertionError e) {
      throw new AssertionError("seed " + seed + " with " + agents + " agents", e);
    }
  }
}
