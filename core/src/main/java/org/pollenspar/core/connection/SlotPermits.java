package org.pollenspar.core.connection;

/** Gives permission to start work at a database, in one order for all hosts. */
public interface SlotPermits {
  /** Decides nothing: each host is on its own. */
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

  /** Asks for permission. The permitRequest's methods may be called before this returns. */
  void ask(DatabaseEntry database, SlotPermitRequest permitRequest);

  /**
   * Withdraws a permitRequest that waits, or gives back one that was granted.
   *
   * @param delayMillis by how much answers were lately delayed by the database's queue
   */
  void end(DatabaseEntry database, SlotPermitRequest permitRequest, long delayMillis);
}
