package org.pollenspar.core.process;

import java.util.HashMap;
import java.util.Map;

/** Names that are avoided for a time, such as hosts that did not answer. */
public final class Avoidance {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Clocks clocks;
  private final long millis;
  private final Map<String, Long> untilNanos = new HashMap<>();

  /**
   * Creates an empty list.
   *
   * @param millis how long a name is avoided
   */
  public Avoidance(Clocks clocks, long millis) {
    this.clocks = clocks;
    this.millis = millis;
  }

  /** Avoids a name from now on. */
  public void add(String name) {
    removeExpired();
    untilNanos.put(name, clocks.steadyNanos() + millis * NANOS_PER_MILLI);
  }

  /** Returns whether a name is avoided now. */
  public boolean contains(String name) {
    removeExpired();
    return untilNanos.containsKey(name);
  }

  private void removeExpired() {
    long now = clocks.steadyNanos();
    untilNanos.values().removeIf(until -> until - now <= 0);
  }
}
