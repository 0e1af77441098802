package org.pollenspar.core.version;

import java.util.HashMap;
import java.util.Map;
import org.pollenspar.core.version.Organisation.RateLimit;

/**
 * How the platform measures limits on rates: in each sliding window, an organisation may run
 * (perSecond x window + burst) operations, and hosts may exceed that by a fraction and by a fixed
 * number.
 *
 * <p>A token bucket of the configured rate and burst keeps the limit, but refuses an organisation
 * that uses its window evenly, since the burst then adds to no more than the first window. The
 * bucket of {@link #granted} is filled at the rate at which the window is used up evenly. Its
 * capacity is the part of the permitted excess that isn't left to hosts without a coordinator.
 *
 * @param seconds length of the window; 0 if the platform doesn't state it
 * @param slack operations by which a window may be exceeded
 * @param excess fraction by which a window may be exceeded
 */
public record QuotaWindow(double seconds, double slack, double excess) {

  /** Returns the fraction of a limit that hosts may grant while no coordinator decides. */
  public double uncoordinated() {
    return excess / 2;
  }

  /** Returns the rate and the burst of the token bucket that keeps a limit. */
  public RateLimit granted(RateLimit limit) {
    if (seconds <= 0) {
      return limit;
    }
    double perWindow = limit.perSecond() * seconds + limit.burst();
    return new RateLimit(perWindow / seconds, slack + (excess - uncoordinated()) * perWindow);
  }

  /** Returns a configuration in which each limit is that of its token bucket. */
  public RouteTable granted(RouteTable table) {
    if (table.organisations() == null) {
      return table;
    }
    Map<String, Organisation> byName = new HashMap<>();
    for (Organisation each : table.organisations().all()) {
      byName.put(
          each.name(),
          new Organisation(each.name(), each.limit() == null ? null : granted(each.limit())));
    }
    return new RouteTable(
        table.version(),
        table.routes(),
        table.groups(),
        table.transactionIdleMillis(),
        new Organisations(byName, table.organisations().namesByKey()));
  }
}
