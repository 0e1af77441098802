package org.pollenspar.core.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;

/**
 * The regions of all failure domains, and how far two domains are from each other.
 *
 * <p>Every host has the same table, so hosts don't tell each other their regions. With fewer than
 * two regions, all domains count as one region. Otherwise, domains without a region together count
 * as a region of their own, so that no statement prefers them by mistake.
 */
public final class Regions {
  /** How far two failure domains are from each other; nearer ones come first. */
  public enum Distance {
    SAME_DOMAIN,
    SAME_REGION,
    OTHER_REGION
  }

  /** Longest round trip between two regions that time limits allow for. */
  public static final long MAX_ROUND_TRIP_MS = 100;

  /** All domains are one region. */
  public static final Regions ONE = new Regions(Map.of());

  private final Map<String, String> regionByDomain;
  private final boolean several;

  /** Creates the table from the region of each failure domain. */
  public Regions(Map<String, String> regionByDomain) {
    this.regionByDomain = Map.copyOf(regionByDomain);
    this.several = new HashSet<>(regionByDomain.values()).size() > 1;
  }

  /**
   * Returns the table with the region that a host states for its own domain. The table prevails if
   * it has the domain, since all hosts must agree on homes.
   *
   * @param ownRegion region of the host; empty if it isn't stated
   */
  public static Regions of(String ownDomain, String ownRegion, Map<String, String> regionByDomain) {
    Map<String, String> all = new HashMap<>(regionByDomain);
    if (!ownRegion.isEmpty()) {
      all.putIfAbsent(ownDomain, ownRegion);
    }
    return new Regions(all);
  }

  /** Returns whether there is more than one region. */
  public boolean several() {
    return several;
  }

  /** Returns the region of a domain; empty if it is unknown or there is only one region. */
  public String region(String domain) {
    return several ? regionByDomain.getOrDefault(domain, "") : "";
  }

  /** Returns how far two failure domains are from each other. */
  public Distance distance(String domain, String other) {
    if (domain.equals(other)) {
      return Distance.SAME_DOMAIN;
    }
    return region(domain).equals(region(other)) ? Distance.SAME_REGION : Distance.OTHER_REGION;
  }
}
