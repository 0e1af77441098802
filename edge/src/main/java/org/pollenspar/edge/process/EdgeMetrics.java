package org.pollenspar.edge.process;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import com.codahale.metrics.Snapshot;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.version.Route;

/**
 * Counters, gauges and latency histograms, and their text for metric scrapers.
 *
 * <p>Not thread-safe: all calls must come from the event loop.
 */
public final class EdgeMetrics {
  /** Latency quantiles cover the answers of this time. */
  private static final long WINDOW_SECONDS = 30;

  private final MetricRegistry registry = new MetricRegistry();
  private final Map<String, Counter> answers = new HashMap<>();
  private final Map<Integer, Histogram> latencies = new HashMap<>();

  /**
   * Counts one answer.
   *
   * @param route route of the session; null if there is none, which counts as priority -1
   * @param millis time from the statement's arrival to its answer
   */
  public void answered(@Nullable Route route, AnswerCode code, long millis) {
    int priority = route == null ? -1 : route.priority();
    String name = "answers{priority=\"" + priority + "\",outcome=\"" + code + "\"}";
    answers.computeIfAbsent(name, registry::counter).inc();
    latencies
        .computeIfAbsent(
            priority,
            key ->
                // The name is left open: text() adds the quantile and the closing brace.
                registry.register(
                    "latency_ms{priority=\"" + key + "\"",
                    new Histogram(
                        new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS))))
        .update(millis);
  }

  /** Returns the counter of this name; creates it on the first call. */
  public Counter counter(String name) {
    return registry.counter(name);
  }

  /** Registers a value that is read when metrics are scraped. */
  public void gauge(String name, Gauge<Number> gauge) {
    registry.registerGauge(name, gauge);
  }

  /** Returns all metrics, one per line: name with labels, and value. */
  public String text() {
    StringBuilder text = new StringBuilder();
    registry
        .getCounters()
        .forEach((name, counter) -> line(text, name, String.valueOf(counter.getCount())));
    registry
        .getGauges()
        .forEach((name, gauge) -> line(text, name, String.valueOf(gauge.getValue())));
    registry
        .getHistograms()
        .forEach(
            (name, histogram) -> {
              Snapshot values = histogram.getSnapshot();
              line(text, name + ",quantile=\"0.5\"}", String.valueOf(values.getMedian()));
              line(text, name + ",quantile=\"0.99\"}", String.valueOf(values.get99thPercentile()));
            });
    return text.toString();
  }

  private static void line(StringBuilder text, String name, String value) {
    text.append("pollenspar_").append(name).append(' ').append(value).append('\n');
  }
}
