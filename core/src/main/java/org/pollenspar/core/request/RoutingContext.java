package org.pollenspar.core.request;

import java.util.Map;
import java.util.function.Predicate;

/**
 * What a proxy knows about the databases apart from their logs; input of a {@link ReadRouter}.
 *
 * @param available tells for a database id whether it can take a request now
 * @param load number of running and waiting requests by database id; absent means 0
 * @param domains failure domain by database id
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
