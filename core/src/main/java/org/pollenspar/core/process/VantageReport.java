package org.pollenspar.core.process;

import java.util.List;

/**
 * The state of a group as one home proxy sees it.
 *
 * @param homeId host id of the home
 * @param domain failure domain of the home
 * @param databases the databases that have answered it at least once
 */
public record VantageReport(String homeId, String domain, List<ObservedDatabase> databases) {

  public VantageReport {
    databases = List.copyOf(databases);
  }
}
