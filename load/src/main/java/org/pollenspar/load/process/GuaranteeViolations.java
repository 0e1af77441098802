package org.pollenspar.load.process;

import java.util.ArrayList;
import java.util.List;

/** Collects what callers saw that a promise forbids. */
final class GuaranteeViolations {
  private static final int MAX_KEPT = 50;

  private final List<String> kept = new ArrayList<>();
  private long count;

  synchronized void add(String what) {
    count++;
    if (kept.size() < MAX_KEPT) {
      kept.add(what);
    }
  }

  synchronized long count() {
    return count;
  }

  synchronized List<String> kept() {
    return List.copyOf(kept);
  }
}
