package org.pollenspar.core.connection;

/** Request for a permit to start one statement at a database that many hosts share. */
public interface SlotPermitRequest {
  /** Returns the rank; 0 is the most urgent. */
  int priority();

  /** Returns how long the request may wait for the permit. */
  long maxWaitMillis();

  /** The request waits in the queue of the broker; a decision follows. */
  void queued();

  /** The statement may start; {@link SlotPermits#end} must be called when it has ended. */
  void granted();

  /**
   * The request would wait, or has waited, longer than its maximum wait. The broker holds nothing
   * for it, so {@link SlotPermits#end} need not be called.
   */
  void refused(long retryAfterMillis);

  /** No broker answered; the host has to decide without one. */
  void brokerUnavailable();
}
