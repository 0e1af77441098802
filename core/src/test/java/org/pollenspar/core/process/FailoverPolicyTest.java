package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.DatabaseState;

/**
 * Guards against promotions that are unnecessary, happen twice in a term, fail to happen, or lose
 * acknowledged writes.
 */
class FailoverPolicyTest {
  private static final long MILLI = FailoverModel.MILLI;
  private static final long SECOND = 1000 * MILLI;

  @Nested
  class Causes {

    @Test
    void healthyPrimaryStays() {
      FailoverModel model = new FailoverModel(1, 2);
      model.run(20 * SECOND);
      assertTrue(model.promotions.isEmpty());
    }

    @Test
    void deadPrimaryIsReplacedWithinTheTarget() {
      FailoverModel model = new FailoverModel(2, 2);
      model.run(5 * SECOND);
      model.database("a").cutFromGroup = true;
      model.database("a").cutFromHomes = true;
      model.run(8 * SECOND);
      assertEquals(1, model.promotions.size());
      assertNotEquals(Optional.of("a"), model.leader());
    }

    /** The homes reach the old primary, so probes alone never show that it is cut off. */
    @Test
    void primaryCutFromItsGroupOnlyIsReplaced() {
      FailoverModel model = new FailoverModel(3, 2);
      model.run(5 * SECOND);
      model.database("a").cutFromGroup = true;
      model.run(9 * SECOND);
      assertTrue(model.leader().isPresent());
      assertNotEquals(Optional.of("a"), model.leader());
    }

    @Test
    void laggingReplicasCauseNoPromotion() {
      FailoverModel model = new FailoverModel(4, 2);
      model.run(5 * SECOND);
      model.database("b").lagging = true;
      model.database("c").lagging = true;
      model.run(15 * SECOND);
      assertTrue(model.promotions.isEmpty());
    }

    @Test
    void primaryOnLeavingHostIsReplaced() {
      FailoverModel model = new FailoverModel(5, 2);
      model.run(5 * SECOND);
      model.leaving.add("a");
      model.run(9 * SECOND);
      assertTrue(model.leader().isPresent());
      assertNotEquals(Optional.of("a"), model.leader());
    }

    /** Each promotion stops writes for a moment and is of no use if every host leaves. */
    @Test
    void primaryStaysIfEveryHostLeaves() {
      FailoverModel model = new FailoverModel(7, 2);
      model.run(5 * SECOND);
      model.leaving.addAll(List.of("a", "b", "c"));
      model.run(60 * SECOND);
      assertEquals(0, model.promotions.size());
    }

    @Test
    void attemptsToReplaceALeavingPrimaryBecomeRare() {
      FailoverModel model = new FailoverModel(8, 2);
      model.run(5 * SECOND);
      model.leaving.addAll(List.of("a", "b"));
      model.database("c").lagging = true;
      model.run(65 * SECOND);
      assertTrue(model.promotions.size() <= 8, "promotions " + model.promotions);
    }

    @Test
    void secondAgentActsWhenTheFirstIsPaused() {
      FailoverModel model = new FailoverModel(6, 2);
      model.run(5 * SECOND);
      model.pause(0, 60 * SECOND);
      model.database("a").cutFromGroup = true;
      model.database("a").cutFromHomes = true;
      model.run(10 * SECOND);
      assertEquals(1, model.promotions.size());
    }
  }

  @Nested
  class OneVantagePoint {

    @Test
    void isNotEnough() {
      FailoverPolicy policy = new FailoverPolicy(3, FailoverTiming.STANDARD, 0);
      DatabaseState dead = new DatabaseState("a", DatabaseRole.PRIMARY, 1, 1, 5, 1);
      DatabaseState replica = new DatabaseState("b", DatabaseRole.REPLICA, 1, 1, 5, 1);
      policy.reported(
          new VantageReport(
              "home-1",
              "domain-1",
              List.of(new ObservedDatabase(dead, 5 * SECOND), new ObservedDatabase(replica, 0))),
          SECOND);
      assertEquals(new FailoverAction.None(), policy.tick(SECOND));
    }
  }

  /** Guards against a failover because of a home whose own network is cut. */
  @Nested
  class CutOffHome {

    @ParameterizedTest
    @CsvSource({"0, true", "2000, false"})
    void hasNoVote(long replicaProbeAgeMillis, boolean acts) {
      FailoverPolicy policy = new FailoverPolicy(3, FailoverTiming.STANDARD, 0);
      DatabaseState primary = new DatabaseState("a", DatabaseRole.PRIMARY, 1, 1, 5, 1);
      DatabaseState replica = new DatabaseState("b", DatabaseRole.REPLICA, 1, 1, 5, 1);
      for (String number : List.of("1", "2")) {
        long replicaAge = number.equals("1") ? 0 : replicaProbeAgeMillis * MILLI;
        policy.reported(
            new VantageReport(
                "home-" + number,
                "domain-" + number,
                List.of(
                    new ObservedDatabase(primary, 5 * SECOND),
                    new ObservedDatabase(replica, replicaAge))),
            SECOND);
      }
      assertEquals(acts, policy.tick(SECOND).equals(new FailoverAction.ReadSummary()));
    }
  }

  /** Guards against a choice that loses an acknowledged write, or keeps a leaving primary. */
  @Nested
  class Choice {

    @ParameterizedTest
    @CsvSource({
      "'a:1:9 b:1:7 c:1:5', '', a",
      "'a:1:9 b:1:7 c:1:5', a, b",
      "'a:1:9 b:1:7 c:1:5', 'a b', a",
      "'a:1:9 b:1:7', a, a",
      "'b:1:7 c:2:5', '', c",
      "'a:1:9', '', none",
      "'', '', none",
    })
    void holdsEveryAcknowledgedWrite(String fenced, String leaving, String expected) {
      List<DatabaseState> states =
          fenced.isEmpty()
              ? List.of()
              : List.of(fenced.split(" ", -1)).stream().map(this::state).toList();
      Set<String> leavingIds = Set.of(leaving.split(" ", -1));
      assertEquals(expected, PromotionChoice.choose(states, 3, leavingIds).orElse("none"));
    }

    private DatabaseState state(String text) {
      String[] parts = text.split(":", -1);
      return new DatabaseState(
          parts[0], DatabaseRole.REPLICA, 9, Long.parseLong(parts[1]), Long.parseLong(parts[2]), 1);
    }
  }

  /** Plays random network cuts, pauses and lost answers with two or three agents. */
  @Property(tries = 300, seed = "20261204")
  void neverPromotesTwicePerTermNorLosesAcknowledgedWrites(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 3) int agents) {
    FailoverModel model = new FailoverModel(seed, agents);
    java.util.Random random = new java.util.Random(seed);
    model.lossRate = random.nextDouble() * 0.4;
    List<String> ids = List.of("a", "b", "c");
    for (int round = 0; round < 6; round++) {
      model.run(model.now() + (500 + random.nextInt(4000)) * MILLI);
      FailoverModel.Database victim = model.database(ids.get(random.nextInt(3)));
      victim.cutFromGroup = random.nextInt(3) > 0;
      victim.cutFromHomes = random.nextBoolean();
      model.pause(random.nextInt(agents), random.nextInt(5000) * MILLI);
      model.run(model.now() + (500 + random.nextInt(6000)) * MILLI);
      ids.forEach(id -> heal(model.database(id)));
    }
    model.lossRate = 0;
    model.run(model.now() + 20 * SECOND);
    assertEquals(List.of(), model.violations);
    assertTrue(model.leader().isPresent(), "no primary after all faults have ended");
  }

  private static void heal(FailoverModel.Database database) {
    database.cutFromGroup = false;
    database.cutFromHomes = false;
  }
}
