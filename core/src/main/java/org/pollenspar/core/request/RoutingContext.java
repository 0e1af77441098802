package org.pollenspar.core.request;

import java.util.Map;
import java.util.function.Predicate;

/**
 * What a proxy knows of the databases besides their logs.
 *
 * @param available whether a database can take a request now
 * @param load requests running or waiting per database; 0 for those not named
 * @param domains failure domain per database
 * @param ownDomain failure domain of this proxy
 */
public record RoutingContext(
    Predicate<String> available,
    Map<String, Integer> load,
    Map<String, String> domains,
    String ownDomain) {

  int loadOf(String databaseId) {
    return load.getOrDefault(databaseId, 0);
  }

  boolean isInOwnDomain(String databaseId) {
    return ownDomain.equals(domains.get(databaseId));
  }
}
