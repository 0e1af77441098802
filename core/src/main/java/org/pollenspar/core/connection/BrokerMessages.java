package org.pollenspar.core.connection;

import java.util.function.LongConsumer;
import org.pollenspar.core.process.Member;

/** Sends permit requests to the host that runs the broker of a database. */
public interface BrokerMessages {
  /**
   * Sends a permit request to another host. The request is called back with the decision, or with
   * {@link SlotPermitRequest#brokerUnavailable} if the connection fails.
   *
   * @return action that releases the permit or withdraws the request; its argument is the delay
   *     that {@link SlotPermits#end} reports
   */
  LongConsumer ask(Member broker, DatabaseEntry database, SlotPermitRequest permitRequest);
}
