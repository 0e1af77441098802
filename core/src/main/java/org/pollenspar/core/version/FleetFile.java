package org.pollenspar.core.version;

import java.util.Map;
import org.pollenspar.core.request.Rank;
import org.pollenspar.core.request.WorkKind;

/**
 * The fleet file, parsed and checked: the configuration that operators apply. Error messages call
 * it the applied file.
 *
 * @param deployment name of the deployment
 * @param groups database groups by name
 * @param ranks ranks by name
 * @param kinds kinds of work by name
 * @param keyRetentionHours hours for which idempotency records are kept
 * @param maxStatements maximum number of statements in one transaction
 */
public record FleetFile(
    String deployment,
    Map<String, GroupSpec> groups,
    Map<String, Rank> ranks,
    Map<String, WorkKind> kinds,
    int keyRetentionHours,
    int maxStatements) {

  public FleetFile {
    groups = Map.copyOf(groups);
    ranks = Map.copyOf(ranks);
    kinds = Map.copyOf(kinds);
  }
}
