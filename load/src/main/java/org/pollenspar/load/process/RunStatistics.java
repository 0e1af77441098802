package org.pollenspar.load.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.pollenspar.load.request.Check;
import org.pollenspar.load.request.KindPlan;

/** Statistics of a run, by phase and for the whole run, each by kind and by rank. */
final class RunStatistics {
  static final String WHOLE_RUN = "all";
  static final String ALL_KINDS = "*";

  /** Identifies a row of the report; the replica share is reported only if {@code reads}. */
  record Row(String phase, int rank, String kind, boolean reads) {}

  private final Map<Row, KindStatistics> rows = new LinkedHashMap<>();
  private final Map<String, LongAdder> errors = new ConcurrentHashMap<>();

  RunStatistics(LoadPlan plan, long nowNanos) {
    for (LoadPlan.Phase phase : plan.phases()) {
      addRows(phase.name(), plan, nowNanos);
    }
    addRows(WHOLE_RUN, plan, nowNanos);
  }

  private void addRows(String phase, LoadPlan plan, long nowNanos) {
    for (KindPlan kind : plan.kinds()) {
      for (Row row : rowsOf(phase, kind)) {
        rows.putIfAbsent(row, new KindStatistics(nowNanos, plan.groups()));
      }
    }
  }

  private static List<Row> rowsOf(String phase, KindPlan kind) {
    boolean reads = !kind.check().writes() && kind.check() != Check.NONE;
    return List.of(
        new Row(phase, kind.rank(), kind.name(), reads),
        new Row(phase, kind.rank(), ALL_KINDS, false));
  }

  /**
   * Applies an event of a request to the rows of its phase and of the whole run, by kind and by
   * rank.
   */
  void record(String phase, KindPlan kind, Consumer<KindStatistics> event) {
    List<Row> affected = new ArrayList<>(rowsOf(phase, kind));
    affected.addAll(rowsOf(WHOLE_RUN, kind));
    for (Row row : affected) {
      KindStatistics statistics = rows.get(row);
      if (statistics != null) {
        event.accept(statistics);
      }
    }
  }

  /** Applies an event to all rows of a phase. */
  void recordPhase(String phase, Consumer<KindStatistics> event) {
    rows.forEach(
        (row, statistics) -> {
          if (row.phase().equals(phase)) {
            event.accept(statistics);
          }
        });
  }

  /** Counts an answer other than done under the name of its error. */
  void countError(String name) {
    errors.computeIfAbsent(name, n -> new LongAdder()).increment();
  }

  Map<Row, KindStatistics> rows() {
    return rows;
  }

  Map<String, Long> errors() {
    Map<String, Long> counts = new TreeMap<>();
    errors.forEach((name, count) -> counts.put(name, count.sum()));
    return counts;
  }
}
