package org.pollenspar.core.connection;

/** One request's wish to start work at a database that many hosts share. */
public interface SlotPermitRequest {
  /** Returns the rank; 0 is the most urgent. */
  int priority();

  /** Returns how long it may wait and still be of use, in milliseconds. */
  long maxWaitMillis();

  /** The request waits in the broker's queue; a decision follows. */
  void queued();

  /** The request may start; {@link SlotPermits#end} must follow when its work has ended. */
  void granted();

  /** The request would wait longer than it can; nothing is held for it. */
  void refused(long retryAfterMillis);

  /** No broker answered: the host has to decide without one. */
  void brokerUnavailable();
}
