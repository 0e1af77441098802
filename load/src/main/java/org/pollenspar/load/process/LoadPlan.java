package org.pollenspar.load.process;

import java.util.List;
import java.util.Map;
import org.pollenspar.load.request.KindPlan;

/**
 * Load of a run: the data it works on, the kinds of requests and the phases.
 *
 * @param groups groups that requests are spread over
 * @param sessions number of sessions
 * @param accounts accounts per group
 * @param openingBalance balance of each account at the start
 * @param setupKind kind of work that creates tables and rows
 * @param verifyKind kind of work that reads the accounts at the end of the run
 * @param kinds kinds of requests
 * @param phases phases in order
 */
public record LoadPlan(
    List<String> groups,
    int sessions,
    int accounts,
    long openingBalance,
    String setupKind,
    String verifyKind,
    List<KindPlan> kinds,
    List<Phase> phases) {

  /** Copies the lists. */
  public LoadPlan {
    groups = List.copyOf(groups);
    kinds = List.copyOf(kinds);
    phases = List.copyOf(phases);
  }

  /**
   * A part of the run with a constant rate of each kind of request.
   *
   * @param name name in the report
   * @param seconds length in seconds
   * @param multipliers factor of the rate per name of a kind; 1 if absent
   */
  public record Phase(String name, double seconds, Map<String, Double> multipliers) {
    /** Returns the requests of a kind per second in this phase. */
    public double rate(KindPlan kind) {
      return kind.ratePerSecond() * multipliers.getOrDefault(kind.name(), 1.0);
    }
  }

  /** Returns the plan with the lengths of its phases scaled to a total in seconds. */
  public LoadPlan scaledTo(double seconds) {
    double total = phases.stream().mapToDouble(Phase::seconds).sum();
    List<Phase> scaled =
        phases.stream()
            .map(p -> new Phase(p.name(), p.seconds() * seconds / total, p.multipliers()))
            .toList();
    return new LoadPlan(
        groups, sessions, accounts, openingBalance, setupKind, verifyKind, kinds, scaled);
  }
}
