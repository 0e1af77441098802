package org.pollenspar.load.capacity;

import java.util.List;

/**
 * Least-squares line through the measurements of one series.
 *
 * @param slope growth of the value per unit of size
 * @param intercept value at size zero
 * @param rSquared share of the variance that the line explains, R squared; 1 for an exact line
 */
public record LinearFit(double slope, double intercept, double rSquared) {

  /**
   * Fits a line.
   *
   * @param points at least two points of different size
   */
  public static LinearFit of(List<Measurement> points) {
    double meanX = points.stream().mapToDouble(Measurement::size).average().orElse(0);
    double meanY = points.stream().mapToDouble(Measurement::value).average().orElse(0);
    double sumXx = 0;
    double sumXy = 0;
    double sumYy = 0;
    for (Measurement point : points) {
      double dx = point.size() - meanX;
      double dy = point.value() - meanY;
      sumXx += dx * dx;
      sumXy += dx * dy;
      sumYy += dy * dy;
    }
    double slope = sumXy / sumXx;
    double rSquared = sumYy == 0 ? 1 : sumXy * sumXy / (sumXx * sumYy);
    return new LinearFit(slope, meanY - slope * meanX, rSquared);
  }

  /** Returns the value that the line gives at a size. */
  public double at(double size) {
    return intercept + slope * size;
  }
}
