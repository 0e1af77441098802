package org.pollenspar.load.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Report on the measurements as text, CSV and SVG plots, by series. */
public final class CapacityReport {
  private static final int PLOT_WIDTH = 320;
  private static final int PLOT_HEIGHT = 200;
  private static final int MARGIN = 40;
  private static final int COLUMNS = 3;

  private final List<Measurement> measurements;

  /** Creates a report of these measurements. */
  public CapacityReport(List<Measurement> measurements) {
    this.measurements = List.copyOf(measurements);
  }

  /** Returns the measurements as CSV. */
  public String csv() {
    return measurements.stream()
        .map(Measurement::csv)
        .collect(Collectors.joining("\n", Measurement.CSV_HEADER + "\n", "\n"));
  }

  /** Returns one line per series with its fitted line. */
  public String text() {
    StringBuilder text = new StringBuilder();
    series()
        .forEach(
            (name, points) -> {
              LinearFit fit = LinearFit.of(points);
              text.append(
                  String.format(
                      Locale.ROOT,
                      "%-40s slope %12.3f per %s, intercept %14.1f, r2 %.3f, sizes %d to %d%n",
                      name,
                      fit.slope(),
                      points.get(0).sizeUnit(),
                      fit.intercept(),
                      fit.rSquared(),
                      points.get(0).size(),
                      points.get(points.size() - 1).size()));
            });
    return text.toString();
  }

  /** Returns an SVG image with one plot per series: the points and the fitted line. */
  public String svg() {
    List<String> plots = new ArrayList<>();
    series().forEach((name, points) -> plots.add(plot(name, points, plots.size())));
    int rows = (plots.size() + COLUMNS - 1) / COLUMNS;
    return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\">%n%s%n</svg>%n"
        .formatted(COLUMNS * PLOT_WIDTH, rows * PLOT_HEIGHT, String.join("\n", plots));
  }

  private Map<String, List<Measurement>> series() {
    return measurements.stream()
        .collect(
            Collectors.groupingBy(Measurement::series, LinkedHashMap::new, Collectors.toList()));
  }

  private static String plot(String name, List<Measurement> points, int index) {
    double maxX = points.stream().mapToDouble(Measurement::size).max().orElse(1);
    double maxY = Math.max(1, points.stream().mapToDouble(Measurement::value).max().orElse(1));
    LinearFit fit = LinearFit.of(points);
    StringBuilder svg = new StringBuilder();
    svg.append(
        String.format(
            Locale.ROOT,
            "<g transform=\"translate(%d,%d)\" font-family=\"sans-serif\" font-size=\"11\">%n"
                + "<text x=\"%d\" y=\"16\">%s, max %.0f</text>%n"
                + "<text x=\"%d\" y=\"%d\">%s, up to %.0f</text>%n"
                + "<path d=\"M%d 24V%dH%d\" fill=\"none\" stroke=\"#888\"/>%n",
            index % COLUMNS * PLOT_WIDTH,
            index / COLUMNS * PLOT_HEIGHT,
            MARGIN,
            name,
            maxY,
            MARGIN,
            PLOT_HEIGHT - 8,
            points.get(0).sizeUnit(),
            maxX,
            MARGIN,
            PLOT_HEIGHT - 24,
            PLOT_WIDTH - 10));
    svg.append(
        String.format(
            Locale.ROOT,
            "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"#36c\"/>%n",
            plotX(0, maxX),
            plotY(fit.at(0), maxY),
            plotX(maxX, maxX),
            plotY(fit.at(maxX), maxY)));
    for (Measurement point : points) {
      svg.append(
          String.format(
              Locale.ROOT,
              "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"#c33\"/>%n",
              plotX((double) point.size(), maxX),
              plotY(point.value(), maxY)));
    }
    return svg.append("</g>").toString();
  }

  private static double plotX(double size, double maxX) {
    return MARGIN + size / maxX * (PLOT_WIDTH - MARGIN - 20);
  }

  private static double plotY(double value, double maxY) {
    double clamped = Math.max(0, Math.min(value, maxY));
    return PLOT_HEIGHT - 24 - clamped / maxY * (PLOT_HEIGHT - 54);
  }
}
