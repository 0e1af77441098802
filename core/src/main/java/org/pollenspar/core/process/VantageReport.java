package org.pollenspar.core.process;

import java.util.List;

/**
 * What one home proxy knows of a group.
 *
 * @param homeId host id of the home
 * @param domain failure domain of the home
 * @param databases the databases that answered it at least once
 */
public record VantageReport(String homeId, String domain, List<ObservedDatabase> databases) {

  /** Copies the list. */
  public VantageReport {
    databases = List.copyOf(databases);
  }
}
