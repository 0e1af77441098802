package org.pollenspar.core.process;

import java.util.Optional;
import java.util.Set;

/**
 * The platform's view of a group.
 *
 * @param term highest term that the platform granted to a failover
 * @param primary database that was promoted last
 * @param unreachable databases that the platform does not reach
 */
public record GroupSummary(long term, Optional<String> primary, Set<String> unreachable) {

  public GroupSummary {
    unreachable = Set.copyOf(unreachable);
  }
}
