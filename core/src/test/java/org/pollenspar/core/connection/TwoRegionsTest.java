package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against reads that cross between regions although the own region can answer, and against
 * reads that are late or refused because they stay in an overloaded region. Each load runs with the
 * fixed penalties and with {@link ReadPlacement}, with the same arrivals.
 */
class TwoRegionsTest {
  private static final double[][] CALM = {{10, 20, 10}, {10, 20, 10}};

  /** Counts of the first seconds, and of six peaks with calm times between them. */
  private record Outcome(TwoRegions.Counts[] start, TwoRegions.Counts[] peaks) {
    String report() {
      return "start " + List.of(start) + ", peaks " + List.of(peaks);
    }
  }

  private static Outcome run(String name, boolean weighed, int peakMillis, double[][] peak) {
    TwoRegions model = new TwoRegions(weighed);
    model.applyLoad(5_000, CALM);
    TwoRegions.Counts[] start = model.counts.clone();
    model.resetCounts();
    for (int i = 0; i < 6; i++) {
      model.applyLoad(peakMillis, peak);
      model.applyLoad(5_000, CALM);
    }
    model.time.advance(3_000);
    Outcome outcome = new Outcome(start, model.counts);
    System.out.println(
        name + (weighed ? ", weighed:         " : ", fixed penalties: ") + outcome.report());
    return outcome;
  }

  @Test
  void firstReadsOfAHostStayInTheirRegion() {
    double[][] none = {{}, {}};
    Outcome fixed = run("start", false, 0, none);
    Outcome weighed = run("start", true, 0, none);
    assertTrue(weighed.start()[0].remote < fixed.start()[0].remote);
    assertTrue(weighed.start()[0].shareInTime() > fixed.start()[0].shareInTime());
  }

  @Test
  void shortPeakInTheRegionWithOneReplica() {
    double[][] peak = {{60, 140, 60}, {20, 40, 20}};
    Outcome fixed = run("short peak", false, 500, peak);
    Outcome weighed = run("short peak", true, 500, peak);
    assertTrue(weighed.peaks()[0].shareInTime() >= fixed.peaks()[0].shareInTime());
    assertTrue(weighed.peaks()[0].remote < fixed.peaks()[0].remote);
    assertTrue(weighed.peaks()[1].remote <= fixed.peaks()[1].remote);
  }

  @Test
  void longOverloadOfBothRegions() {
    double[][] peak = {{100, 200, 60}, {60, 120, 40}};
    Outcome fixed = run("long overload", false, 5_000, peak);
    Outcome weighed = run("long overload", true, 5_000, peak);
    assertTrue(weighed.peaks()[0].shareInTime() > 0.97);
    assertTrue(weighed.peaks()[1].shareInTime() >= fixed.peaks()[1].shareInTime());
    assertTrue(weighed.peaks()[1].remote < fixed.peaks()[1].remote);
  }

  @Test
  void moreThanAllDatabasesCanDo() {
    double[][] peak = {{40, 80, 40}, {100, 250, 100}};
    Outcome fixed = run("too much", false, 5_000, peak);
    Outcome weighed = run("too much", true, 5_000, peak);
    assertTrue(weighed.peaks()[1].shareInTime() >= fixed.peaks()[1].shareInTime() - 0.01);
    assertTrue(weighed.peaks()[0].shareInTime() > 0.98);
  }
}
