package org.pollenspar.load.process;

import java.util.ArrayList;
import java.util.List;

/**
 * Counts observations that violate a guarantee (P1 to P6) and keeps the first ones for the report.
 */
final class GuaranteeViolations {
  private static final int MAX_RECORDED = 50;

  private final List<String> recorded = new ArrayList<>();
  private long count;

  synchronized void add(String description) {
    count++;
    if (recorded.size() < MAX_RECORDED) {
      recorded.add(description);
    }
  }

  synchronized long count() {
    return count;
  }

  synchronized List<String> recorded() {
    return List.copyOf(recorded);
  }
}
