package org.pollenspar.load.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong growth figures in the capacity report: a wrong slope or intercept of the
 * fitted line, or one line fitted through the values of several series.
 */
class LinearFitTest {
  private static final double TOLERANCE = 1e-9;

  private static Measurement point(long size, double value) {
    return new Measurement("part", "groups", size, "memory_bytes", value);
  }

  @Nested
  class ExactLine {

    @Test
    void givesSlopeAndIntercept() {
      LinearFit fit = LinearFit.of(List.of(point(1, 12), point(2, 14), point(4, 18)));
      assertEquals(2, fit.slope(), TOLERANCE);
      assertEquals(10, fit.intercept(), TOLERANCE);
      assertEquals(1, fit.rSquared(), TOLERANCE);
      assertEquals(1410, fit.at(700), TOLERANCE);
    }
  }

  @Nested
  class ConstantCost {

    @Test
    void hasSlopeZero() {
      LinearFit fit = LinearFit.of(List.of(point(3, 5), point(30, 5), point(300, 5)));
      assertEquals(0, fit.slope(), TOLERANCE);
      assertEquals(1, fit.rSquared(), TOLERANCE);
    }
  }

  @Nested
  class Report {

    @Test
    void fitsEachSeriesByItself() {
      Measurement otherSeries = new Measurement("part", "groups", 7, "cpu_ns", 3);
      CapacityReport report =
          new CapacityReport(List.of(point(1, 1), point(2, 2), otherSeries, otherSeries));
      assertEquals(5, report.csv().lines().count());
      assertEquals(2, report.text().lines().count());
      assertTrue(report.svg().contains("part cpu_ns"), report.svg());
    }
  }
}
