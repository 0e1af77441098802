package org.pollenspar.load.process;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import org.pollenspar.load.process.KindStatistics.Summary;
import org.pollenspar.load.process.RunStatistics.Row;

/** Report on a run as text and as CSV. Times are in milliseconds. */
public final class LoadReport {
  private static final String CSV_HEADER =
      "phase,rank,kind,offered,not_sent,done,done_in_deadline,not_run,unknown,unsettled,"
          + "p50_ms,p99_ms,max_ms,gap_ms,replica_share";

  private final LoadPlan plan;
  private final RunStatistics statistics;
  private final GuaranteeViolations violations;

  LoadReport(LoadPlan plan, RunStatistics statistics, GuaranteeViolations violations) {
    this.plan = plan;
    this.statistics = statistics;
    this.violations = violations;
  }

  /** Returns the number of observations that violate a guarantee. */
  public long violationCount() {
    return violations.count();
  }

  /** Returns the statistics as CSV. */
  public String csv() {
    StringJoiner lines = new StringJoiner("\n", CSV_HEADER + "\n", "\n");
    for (Map.Entry<Row, KindStatistics> entry : statistics.rows().entrySet()) {
      Row row = entry.getKey();
      Summary s = entry.getValue().summary();
      lines.add(
          String.format(
              Locale.ROOT,
              "%s,%d,%s,%d,%d,%d,%d,%d,%d,%d,%.3f,%.3f,%.3f,%.1f,%s",
              row.phase(),
              row.rank(),
              row.kind(),
              s.offered(),
              s.notSent(),
              s.done(),
              s.inDeadline(),
              s.notRun(),
              s.unknown(),
              s.unsettled(),
              s.p50(),
              s.p99(),
              s.maximum(),
              s.gap(),
              row.reads() ? String.format(Locale.ROOT, "%.4f", replicaShare(s)) : ""));
    }
    return lines.toString();
  }

  /** Returns the statistics as a table, followed by the violated guarantees. */
  public String text() {
    StringJoiner lines = new StringJoiner("\n", "", "\n");
    lines.add(
        "%-14s %4s %-20s %8s %8s %7s %8s %7s %9s %8s %8s %8s %8s %7s"
            .formatted(
                "phase",
                "rank",
                "kind",
                "offered",
                "done",
                "in time",
                "not run",
                "unknown",
                "unsettled",
                "p50 ms",
                "p99 ms",
                "max ms",
                "gap ms",
                "replica"));
    statistics
        .rows()
        .forEach((row, kindStatistics) -> lines.add(line(row, kindStatistics.summary())));
    long notSent =
        statistics.rows().entrySet().stream()
            .filter(e -> e.getKey().phase().equals(RunStatistics.WHOLE_RUN))
            .filter(e -> !e.getKey().kind().equals(RunStatistics.ALL_KINDS))
            .mapToLong(e -> e.getValue().summary().notSent())
            .sum();
    lines.add("kinds " + plan.kinds().size() + ", not sent by the generator: " + notSent);
    lines.add("answers other than done: " + statistics.errors());
    lines.add("broken promises: " + violations.count());
    List<String> recorded = violations.recorded();
    recorded.forEach(lines::add);
    return lines.toString();
  }

  private static String line(Row row, Summary s) {
    return String.format(
        Locale.ROOT,
        "%-14s %4d %-20s %8d %8d %6.2f%% %8d %7d %9d %8.1f %8.1f %8.1f %8.0f %7s",
        row.phase(),
        row.rank(),
        row.kind(),
        s.offered(),
        s.done(),
        s.offered() == 0 ? 100.0 : 100.0 * s.inDeadline() / s.offered(),
        s.notRun(),
        s.unknown(),
        s.unsettled(),
        s.p50(),
        s.p99(),
        s.maximum(),
        s.gap(),
        row.reads() ? String.format(Locale.ROOT, "%.1f%%", 100 * replicaShare(s)) : "");
  }

  private static double replicaShare(Summary s) {
    return s.done() == 0 ? 0 : (double) s.fromReplica() / s.done();
  }
}
