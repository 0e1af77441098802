package org.pollenspar.core.connection;

import java.util.function.LongConsumer;
import org.pollenspar.core.process.Member;

/** Carries permit requests to the host that brokers a database. */
public interface BrokerMessages {
  /**
   * Sends a permitRequest to another host, which calls it back; with {@link
   * SlotPermitRequest#brokerUnavailable} if the connection fails.
   *
   * @return withdraws or gives back the permitRequest; receives what {@link SlotPermits#end} does
   */
  LongConsumer ask(Member broker, DatabaseEntry database, SlotPermitRequest permitRequest);
}
