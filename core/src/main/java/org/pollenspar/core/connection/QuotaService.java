package org.pollenspar.core.connection;

import java.util.function.Consumer;

/** Coordinates the rates of organisations on one host. Each callback is called exactly once. */
public interface QuotaService {
  /** Decides about one operation, or passes the request on to the first coordinator. */
  void ask(QuotaRequest request, Consumer<QuotaDecision> done);

  /**
   * Takes back a grant of which nothing was sent to a database.
   *
   * @param relayed whether another host passed it on; it isn't passed on again
   */
  void giveBack(String organisation, boolean relayed);

  /**
   * Receives the heartbeat of a host that is an organisation's first coordinator by its own list of
   * members.
   *
   * @param sharedMillis for how long a third host may still grant operations, by what the sender
   *     knows; 0 for none
   */
  void heartbeat(
      String organisation,
      String coordinator,
      long sharedMillis,
      Consumer<QuotaAcknowledgement> done);
}
