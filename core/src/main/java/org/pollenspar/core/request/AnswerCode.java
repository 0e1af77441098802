package org.pollenspar.core.request;

/** Outcome of one statement, as a database reports it or as a caller is told. */
public enum AnswerCode {
  /** The statement ran; the rows and the signature of the database are complete. */
  OK(Effect.RAN),
  /** Refused because of overload; nothing ran. */
  BUSY(Effect.NOTHING),
  /** The database's log does not include the required position; nothing ran. */
  LAGGING(Effect.NOTHING),
  /** The database is not the primary; no change is kept. */
  READ_ONLY(Effect.NOTHING),
  /** Another database answers at this address; nothing ran. */
  WRONG_DATABASE(Effect.NOTHING),
  /** The database accepts no further connection; nothing ran. */
  CONNECTION_LIMIT(Effect.NOTHING),
  /** The connection has no such prepared statement; nothing ran. */
  NO_SUCH_STATEMENT(Effect.NOTHING),
  /** The transaction was rolled back. */
  ABORTED(Effect.NOTHING),
  /** No route is configured for this database name; nothing ran. */
  UNKNOWN_DATABASE(Effect.NOTHING),
  /**
   * No organisation holds the caller's key; nothing ran, and an open transaction is rolled back.
   */
  DENIED(Effect.NOTHING),
  /** The statement cannot be parsed or is not allowed in this state; nothing ran. */
  MALFORMED(Effect.NOTHING),
  /** The message is larger than the protocol permits; nothing ran. */
  OVERSIZED(Effect.NOTHING),
  /** The statement ran and failed. */
  FAILED(Effect.RAN),
  /** The statement exceeded its timeout; it may have run. */
  TIMED_OUT(Effect.UNKNOWN),
  /** No answer arrived; the statement may have run. */
  IN_DOUBT(Effect.UNKNOWN),
  /** The connection closed before the answer was complete; the statement may have run. */
  LOST(Effect.UNKNOWN);

  /** What is certain about the effect of a statement. */
  private enum Effect {
    NOTHING,
    RAN,
    UNKNOWN
  }

  private final Effect effect;

  AnswerCode(Effect effect) {
    this.effect = effect;
  }

  /**
   * Returns whether a database that answers so, or a host that refuses so, has run nothing. Other
   * codes without an effect may follow a statement that ran: a write at a replica, or one that was
   * rolled back.
   */
  public boolean nothingRan() {
    return switch (this) {
      case BUSY, LAGGING, WRONG_DATABASE, CONNECTION_LIMIT, NO_SUCH_STATEMENT -> true;
      default -> false;
    };
  }

  /** Returns whether it is certain that the statement left no effect. */
  public boolean hadNoEffect() {
    return effect == Effect.NOTHING;
  }
}
