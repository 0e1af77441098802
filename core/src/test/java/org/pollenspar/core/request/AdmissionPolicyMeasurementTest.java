package org.pollenspar.core.request;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/**
 * Guards against urgent work that fails while other ranks are overloaded, and against ranks that
 * get less than their floor. Runs the ranked queue and the FIFO baseline on the same seed and
 * writes the results of both to {@code target/policy.csv}. {@code -Dpollenspar.seconds=N} sets the
 * simulated seconds of each run.
 */
class AdmissionPolicyMeasurementTest {
  private static final long SEED = 20261204;
  private static final double SECONDS = Integer.getInteger("pollenspar.seconds", 10);
  private static final double URGENT_DONE_PERCENT = 99.9;
  private static final double FLOOR_TOLERANCE = 0.9;

  /**
   * Checks the targets for the ranked queue: while the lowest rank is overloaded, 99.9 % of the
   * urgent requests finish by their deadline; while the lowest or the highest rank is overloaded,
   * every rank gets its floor, less a tolerance of a tenth.
   */
  @Test
  void targetsHoldInFloods() throws IOException {
    Map<String, Function<List<Rank>, AdmissionQueue<?>>> policies = new TreeMap<>();
    policies.put("baseline", AdmissionQueue::fifo);
    policies.put("ranked", AdmissionQueue::ranked);
    List<String> lines = new ArrayList<>(List.of(AdmissionPolicySimulation.HEADER));
    List<String> misses = new ArrayList<>();
    for (int flooded : List.of(3, 1)) {
      String flood = flooded == 3 ? "lowest" : "highest";
      for (double load : new double[] {1, 2, 5, 10}) {
        policies.forEach(
            (name, policy) -> {
              AdmissionPolicySimulation run =
                  new AdmissionPolicySimulation(policy, flooded, load, SECONDS, SEED);
              List<AdmissionPolicySimulation.Tally> tallies = run.run();
              lines.addAll(run.csv(name, flood, load));
              if (name.equals("ranked")) {
                misses.addAll(misses(run, tallies, flooded, flood + " x" + load));
              }
            });
      }
    }
    Files.write(Path.of("target", "policy.csv"), lines);
    assertTrue(misses.isEmpty(), misses::toString);
  }

  private static List<String> misses(
      AdmissionPolicySimulation run,
      List<AdmissionPolicySimulation.Tally> tallies,
      int flooded,
      String where) {
    List<String> misses = new ArrayList<>();
    if (flooded == 3 && tallies.get(0).donePercent() < URGENT_DONE_PERCENT) {
      misses.add(
          where
              + ": only "
              + tallies.get(0).donePercent()
              + " % of the urgent requests finished by their deadline");
    }
    for (int i = 0; i < AdmissionPolicySimulation.RANKS.size(); i++) {
      double floor = AdmissionPolicySimulation.RANKS.get(i).floorPercent();
      if (run.sharePercent(i) < floor * FLOOR_TOLERANCE) {
        misses.add(
            where
                + ": rank "
                + (i + 1)
                + " had only "
                + run.sharePercent(i)
                + " % of the capacity, which is below its floor");
      }
    }
    return misses;
  }
}
