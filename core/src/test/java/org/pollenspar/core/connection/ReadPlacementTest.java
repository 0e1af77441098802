package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenspar.core.process.Regions.Distance;

/** Guards against reads at a database that is too far, too busy, or the same for all hosts. */
class ReadPlacementTest {
  private static final double MILLI = 1e6;

  private static final Map<Character, Distance> DISTANCES =
      Map.of('d', Distance.SAME_DOMAIN, 'r', Distance.SAME_REGION, 'o', Distance.OTHER_REGION);

  /** Reads candidates such as "d1+20 o60+10": distance, latency and wait in milliseconds. */
  private static List<ReadPlacement.Candidate<String>> candidates(String text) {
    List<ReadPlacement.Candidate<String>> all = new ArrayList<>();
    for (String each : text.split(" ", -1)) {
      String[] times = each.substring(1).split("\\+", -1);
      all.add(
          new ReadPlacement.Candidate<>(
              each,
              DISTANCES.get(each.charAt(0)),
              Double.parseDouble(times[0]) * MILLI,
              Double.parseDouble(times[1]) * MILLI,
              0));
    }
    return all;
  }

  /** Returns how often each database and reason is chosen, of 1,000 reads. */
  private static Map<String, Integer> choices(String text, double remainingMillis) {
    ReadPlacement placement = new ReadPlacement(new SplittableRandom(5));
    Map<String, Integer> counts = new TreeMap<>();
    for (int i = 0; i < 1_000; i++) {
      var choice = placement.choose(candidates(text), remainingMillis * MILLI);
      counts.merge(choice.database() + " " + choice.reason(), 1, Integer::sum);
    }
    return counts;
  }

  @ParameterizedTest
  @CsvSource({
    // The wait in the own domain is shorter than the difference in latency.
    "d1+20 r7+15, 200, d1+20 NEAREST",
    "d1+90 o60+10, 200, d1+90 NEAREST",
    // At twice the difference, all reads leave.
    "d1+40 r7+5, 200, r7+5 SHORTER_WAIT",
    "r7+20 o60+10, 200, r7+20 NONE_NEARER",
    "o60+10, 200, o60+10 NONE_NEARER",
    // The own region can't answer within half of the objective, and the other one is faster.
    "d1+120 o60+10, 200, o60+10 OBJECTIVE",
    "d1+120 r7+110 o60+10, 200, o60+10 OBJECTIVE",
    // The other region would not be faster, or not in time either.
    "d1+120 o60+70, 200, d1+120 NEAREST",
    "d1+120 r7+130 o60+150, 200, d1+120 NEAREST",
    "d1+220 o60+190, 200, d1+220 LATE",
    "d1+220 o60+140, 150, o60+140 LATE"
  })
  void choosesTheDatabaseThatTheRulesName(String text, double remaining, String expected) {
    assertEquals(Map.of(expected, 1_000), choices(text, remaining));
  }

  @Nested
  class OutsideTheDomain {
    @Test
    void theMoreReadsLeaveTheLongerTheWait() {
      int few = choices("d1+16 r11+2", 200).getOrDefault("r11+2 SHORTER_WAIT", 0);
      int many = choices("d1+20 r11+2", 200).getOrDefault("r11+2 SHORTER_WAIT", 0);
      assertTrue(few > 300 && few < 500, "few: " + few);
      assertTrue(many > 700 && many < 900, "many: " + many);
    }

    @Test
    void noDatabaseOfAnotherRegionGetsAllReads() {
      Map<String, Integer> counts = choices("o60+10 o60+11 o60+40", 200);
      assertTrue(counts.get("o60+10 NONE_NEARER") < 600, counts.toString());
      assertTrue(counts.get("o60+11 NONE_NEARER") > 300, counts.toString());
      assertTrue(counts.get("o60+40 NONE_NEARER") > 10, counts.toString());
    }

    @Test
    void withoutDatabasesThereIsNoChoice() {
      assertNull(new ReadPlacement(new SplittableRandom(5)).choose(List.of(), 1));
    }
  }

  @Nested
  class Measurements {
    private final ResponseTimes times = new ResponseTimes();

    @Test
    void aQueueDoesNotChangeTheLatency() {
      times.record(0, 61_000_000, 0);
      for (int i = 1; i < 100; i++) {
        times.record(0, 300_000_000, i * 50_000_000L);
      }
      assertEquals(61 * MILLI, times.latencyNanos());
      assertTrue(times.excessNanos(0, 0, 99 * 50_000_000L) > 200 * MILLI);
    }

    @Test
    void aLongerWayIsNoticedAfterTwoWindows() {
      times.record(0, 2_000_000, 0);
      for (int second = 1; second < 30; second++) {
        times.record(0, 60_000_000, second * 1_000_000_000L);
      }
      assertEquals(60 * MILLI, times.latencyNanos());
    }

    @Test
    void aQueueIsForgottenWithoutNewAnswers() {
      times.record(0, 2_000_000, 0);
      times.record(0, 900_000_000, 1);
      assertEquals(10 * MILLI, times.excessNanos(0, 10 * MILLI, 20_000_000_000L), 1);
    }
  }
}
