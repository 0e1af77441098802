package org.pollenspar.core.process;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;

/**
 * Checks invariants in the running program and counts violations per {@link Invariant}.
 *
 * <p>A caller of {@link #check} that gets false must withhold the answer it was about to send.
 */
public final class InvariantChecker {
  private final ErrorReporter reporter;
  private final Timeline timeline;
  private final Map<Invariant, LongAdder> checks = new EnumMap<>(Invariant.class);
  private final Map<Invariant, LongAdder> violations = new EnumMap<>(Invariant.class);

  /** Creates a checker that reports violations to a reporter and records them in a timeline. */
  public InvariantChecker(ErrorReporter reporter, Timeline timeline) {
    this.reporter = reporter;
    this.timeline = timeline;
    for (Invariant invariant : Invariant.values()) {
      checks.put(invariant, new LongAdder());
      violations.put(invariant, new LongAdder());
    }
  }

  /**
   * Counts a check and, if it fails, reports the violation.
   *
   * @param detail evaluated only on a violation
   * @return whether the invariant holds
   */
  public boolean check(Invariant invariant, boolean holds, Supplier<String> detail) {
    adder(checks, invariant).increment();
    if (!holds) {
      adder(violations, invariant).increment();
      String text = detail.get();
      timeline.record("invariant_violated", invariant.promise(), text);
      reporter.report(ErrorKind.INVARIANT_VIOLATED, invariant.promise(), text);
    }
    return holds;
  }

  public long checks(Invariant invariant) {
    return adder(checks, invariant).sum();
  }

  public long violations(Invariant invariant) {
    return adder(violations, invariant).sum();
  }

  private static LongAdder adder(Map<Invariant, LongAdder> map, Invariant invariant) {
    return java.util.Objects.requireNonNull(map.get(invariant));
  }
}
