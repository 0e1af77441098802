package org.pollenspar.load.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Counts and latencies of one row of the report: requests of one kind or of all kinds of a rank, in
 * one phase or in the whole run.
 *
 * <p>The gap is the longest time in which no request to a group was done. It is measured for each
 * group: over all groups together, the groups that go on would hide the one that fails over.
 */
public final class KindStatistics {
  private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(5);
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  private long offered;
  private long notSent;
  private long done;
  private long inDeadline;
  private long notRun;
  private long unknown;
  private long unsettled;
  private long fromReplica;
  private final Map<String, Long> lastDoneNanos = new HashMap<>();
  private long longestGapNanos;

  /** Creates empty statistics of a phase that starts at {@code startNanos}. */
  public KindStatistics(long startNanos, List<String> groups) {
    groups.forEach(group -> lastDoneNanos.put(group, startNanos));
  }

  /** A snapshot for the report; times in milliseconds. */
  public record Summary(
      long offered,
      long notSent,
      long done,
      long inDeadline,
      long notRun,
      long unknown,
      long unsettled,
      long fromReplica,
      double p50,
      double p99,
      double maximum,
      double gap) {}

  /** Restarts the measurement of gaps at the start of the phase. */
  public synchronized void phaseStarted(long nowNanos) {
    lastDoneNanos.replaceAll((group, last) -> nowNanos);
  }

  /** Counts an arrival. */
  public synchronized void offered() {
    offered++;
  }

  /** Counts an arrival that the generator could not send. */
  public synchronized void notSent() {
    notSent++;
  }

  /** Counts a request whose first answer left the outcome unknown; it may still be settled. */
  public synchronized void unknown() {
    unknown++;
  }

  /** Counts a request whose outcome was still unknown at the end of the run. */
  public synchronized void unsettled() {
    unsettled++;
  }

  /** Counts a request that was not run. */
  public synchronized void notRun() {
    notRun++;
  }

  /** Counts a request that was done. */
  public synchronized void done(
      String group, long nowNanos, long latencyNanos, boolean withinDeadline, boolean replica) {
    done++;
    inDeadline += withinDeadline ? 1 : 0;
    fromReplica += replica ? 1 : 0;
    long micros = TimeUnit.NANOSECONDS.toMicros(latencyNanos);
    latencyMicros.recordValue(Math.min(Math.max(micros, 0), MAX_LATENCY_MICROS));
    long last = lastDoneNanos.getOrDefault(group, nowNanos);
    longestGapNanos = Math.max(longestGapNanos, nowNanos - last);
    lastDoneNanos.put(group, Math.max(last, nowNanos));
  }

  /** Includes the time from the last request that was done to the end of the phase in the gap. */
  public synchronized void phaseEnded(long nowNanos) {
    lastDoneNanos
        .values()
        .forEach(last -> longestGapNanos = Math.max(longestGapNanos, nowNanos - last));
  }

  public synchronized Summary summary() {
    return new Summary(
        offered,
        notSent,
        done,
        inDeadline,
        notRun,
        unknown,
        unsettled,
        fromReplica,
        latencyMicros.getValueAtPercentile(50) / 1e3,
        latencyMicros.getValueAtPercentile(99) / 1e3,
        latencyMicros.getMaxValue() / 1e3,
        longestGapNanos / 1e6);
  }
}
