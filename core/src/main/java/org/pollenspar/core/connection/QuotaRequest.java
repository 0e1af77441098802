package org.pollenspar.core.connection;

import org.pollenspar.core.version.Organisation.RateLimit;

/**
 * Asks a coordinator to grant one operation of an organisation.
 *
 * @param limit limit in the sender's configuration
 * @param version version of that configuration
 * @param relayed whether another host passed it on; it isn't passed on again
 */
public record QuotaRequest(String organisation, RateLimit limit, long version, boolean relayed) {
  QuotaRequest asRelayed() {
    return new QuotaRequest(organisation, limit, version, true);
  }
}
