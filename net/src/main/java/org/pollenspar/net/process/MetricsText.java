package org.pollenspar.net.process;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.ErrorReporter;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.process.InvariantChecker;

/**
 * Writes a metric registry, the error counts and the invariant counts in the Prometheus text format
 * (version 0.0.4). Times are in seconds.
 */
public final class MetricsText {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final String PREFIX = "pollenspar_";

  private final MetricRegistry registry;
  private final ErrorReporter errors;
  private final InvariantChecker invariants;

  public MetricsText(MetricRegistry registry, ErrorReporter errors, InvariantChecker invariants) {
    this.registry = registry;
    this.errors = errors;
    this.invariants = invariants;
  }

  /** Returns the current values. */
  public String write() {
    StringBuilder text = new StringBuilder();
    registry
        .getCounters()
        .forEach(
            (name, counter) -> {
              type(text, metricName(name), "gauge");
              sample(text, metricName(name), counter.getCount());
            });
    registry
        .getMeters()
        .forEach(
            (name, meter) -> {
              type(text, metricName(name) + "_total", "counter");
              sample(text, metricName(name) + "_total", meter.getCount());
            });
    registry
        .getGauges()
        .forEach(
            (name, gauge) -> {
              if (gauge.getValue() instanceof Number number) {
                type(text, metricName(name), "gauge");
                sample(text, metricName(name), number);
              }
            });
    registry
        .getHistograms()
        .forEach(
            (name, histogram) ->
                summary(
                    text, metricName(name), histogram.getSnapshot(), histogram.getCount(), 1.0));
    registry
        .getTimers()
        .forEach(
            (name, timer) ->
                summary(
                    text,
                    metricName(name) + "_seconds",
                    timer.getSnapshot(),
                    timer.getCount(),
                    NANOS_PER_SECOND));
    writeErrors(text);
    writeInvariants(text);
    return text.toString();
  }

  private void writeErrors(StringBuilder text) {
    type(text, PREFIX + "errors_total", "counter");
    for (ErrorKind kind : ErrorKind.values()) {
      String labels =
          "{number=\"%d\",kind=\"%s\"}"
              .formatted(kind.number(), kind.name().toLowerCase(Locale.ROOT));
      sample(text, PREFIX + "errors_total" + labels, errors.count(kind));
    }
  }

  private void writeInvariants(StringBuilder text) {
    type(text, PREFIX + "invariant_checks_total", "counter");
    for (Invariant invariant : Invariant.values()) {
      String labels = "{promise=\"" + invariant.promise() + "\"}";
      sample(text, PREFIX + "invariant_checks_total" + labels, invariants.checks(invariant));
    }
    type(text, PREFIX + "invariant_violations_total", "counter");
    for (Invariant invariant : Invariant.values()) {
      String labels = "{promise=\"" + invariant.promise() + "\"}";
      sample(
          text, PREFIX + "invariant_violations_total" + labels, invariants.violations(invariant));
    }
  }

  private static void summary(
      StringBuilder text, String name, Snapshot snapshot, long count, double divisor) {
    type(text, name, "summary");
    sample(text, name + "{quantile=\"0.5\"}", snapshot.getMedian() / divisor);
    sample(text, name + "{quantile=\"0.99\"}", snapshot.get99thPercentile() / divisor);
    sample(text, name + "{quantile=\"0.999\"}", snapshot.get999thPercentile() / divisor);
    sample(text, name + "_count", count);
  }

  private static void type(StringBuilder text, String name, String type) {
    text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
  }

  private static void sample(StringBuilder text, String name, Number value) {
    text.append(name).append(' ').append(value).append('\n');
  }

  /** Replaces the characters that the format does not allow in names. */
  private static String metricName(String name) {
    return PREFIX + name.replaceAll("[^A-Za-z0-9_]", "_");
  }
}
