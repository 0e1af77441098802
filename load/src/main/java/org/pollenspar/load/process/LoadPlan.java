package org.pollenspar.load.process;

import java.util.List;
import java.util.Map;
import org.pollenspar.load.request.KindPlan;

/**
 * What callers do.
 *
 * @param groups groups that requests are spread over
 * @param sessions number of sessions
 * @param accounts accounts per group
 * @param openingBalance balance of each account at the start
 * @param setupKind kind of work that may create tables and rows
 * @param verifyKind kind of work that reads the accounts at the end
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
   * A stretch of time with constant rates.
   *
   * @param name name
   * @param seconds length
   * @param multipliers factor of the rate per name of a kind; 1 if absent
   */
  public record Phase(String name, double seconds, Map<String, Double> multipliers) {
    /** Returns the rate of a kind in this phase. */
    public double rate(KindPlan kind) {
      return kind.ratePerSecond() * multipliers.getOrDefault(kind.name(), 1.0);
    }
  }

  /** Returns the plan with phases stretched or shortened to a total length. */
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
