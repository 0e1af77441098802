package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.FleetModel.Planted;

/** Guards against two primaries and stale reads in random histories of a fleet. */
class FleetModelProperties {
  /** Histories in the normal run; {@code -Dpollenspar.histories} sets another number. */
  private static final int HISTORIES = Integer.getInteger("pollenspar.histories", 300);

  private static final long SEED = Long.getLong("pollenspar.seed", 20_261_204L);

  private static int violations(Planted planted, int histories) {
    int found = 0;
    for (int i = 0; i < histories; i++) {
      FleetModel model = new FleetModel(new SplittableRandom(SEED + i), planted);
      model.play();
      found += model.violations.size();
    }
    return found;
  }

  @Nested
  class RealFleet {

    @Test
    void keepsOnePrimaryAndFreshReads() {
      long commits = 0;
      long promotions = 0;
      for (int i = 0; i < HISTORIES; i++) {
        FleetModel model = new FleetModel(new SplittableRandom(SEED + i), Planted.NONE);
        model.play();
        assertEquals(
            List.of(),
            model.violations.stream().distinct().limit(4).toList(),
            "history of seed " + (SEED + i) + "\n" + String.join("\n", model.trace));
        commits += model.commits;
        promotions += model.promotions;
      }
      System.out.println(
          HISTORIES + " histories, " + commits + " commits, " + promotions + " promotions");
      assertTrue(promotions > HISTORIES, "hardly any promotion was played: " + promotions);
      assertTrue(commits > 50L * HISTORIES, "hardly any commit was played: " + commits);
    }
  }

  @Nested
  class PlantedFaults {

    @Test
    void proofsThatNeverExpireAreFound() {
      assertTrue(violations(Planted.PROOFS_NEVER_EXPIRE, 200) > 0);
    }

    @Test
    void membersThatAreNotAskedAreFound() {
      assertTrue(violations(Planted.MEMBERS_ARE_NOT_ASKED, 200) > 0);
    }
  }
}
