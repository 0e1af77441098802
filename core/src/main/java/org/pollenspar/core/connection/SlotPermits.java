package org.pollenspar.core.connection;

/**
 * Grants permits to start statements at a database. The broker of the database grants them in one
 * order for all hosts.
 */
public interface SlotPermits {
  /** Grants no permits, so each host decides alone which statements start. */
  SlotPermits NONE =
      new SlotPermits() {
        @Override
        public void ask(DatabaseEntry database, SlotPermitRequest permitRequest) {
          permitRequest.brokerUnavailable();
        }

        @Override
        public void end(
            DatabaseEntry database, SlotPermitRequest permitRequest, long delayMillis) {}
      };

  /** Requests a permit. The methods of the request may be called before this method returns. */
  void ask(DatabaseEntry database, SlotPermitRequest permitRequest);

  /**
   * Releases the permit of a request that was granted, or withdraws a request that waits.
   *
   * @param delayMillis recent delay of answers by the database's queue, as this host sees it
   */
  void end(DatabaseEntry database, SlotPermitRequest permitRequest, long delayMillis);

  /**
   * Returns the longest time within which a permit of a database that didn't have to wait arrives,
   * in milliseconds. It is longer than a round trip to the broker.
   */
  default long immediateGrantMillis(DatabaseEntry database) {
    return 10;
  }
}
