package org.pollenspar.core.request;

/** Outcome of one statement, at a database or towards a caller. */
public enum AnswerCode {
  /** Ran; rows and signature are complete. */
  OK(Effect.RAN),
  /** Refused for load; nothing ran. */
  BUSY(Effect.NOTHING),
  /** The log lacks the required position; nothing ran. */
  LAGGING(Effect.NOTHING),
  /** The database does not lead; nothing is kept. */
  READ_ONLY(Effect.NOTHING),
  /** The address belongs to another database; nothing ran. */
  WRONG_DATABASE(Effect.NOTHING),
  /** The database accepts no further connection; nothing ran. */
  CONNECTION_LIMIT(Effect.NOTHING),
  /** The connection has no such prepared statement; nothing ran. */
  NO_SUCH_STATEMENT(Effect.NOTHING),
  /** The transaction was rolled back. */
  ABORTED(Effect.NOTHING),
  /** No route has this database name; nothing ran. */
  UNKNOWN_DATABASE(Effect.NOTHING),
  /** The statement is not understood or out of order; nothing ran. */
  MALFORMED(Effect.NOTHING),
  /** The message is larger than the protocol permits; nothing ran. */
  OVERSIZED(Effect.NOTHING),
  /** Ran and failed. */
  FAILED(Effect.RAN),
  /** Exceeded its time limit; it may have run. */
  TIMED_OUT(Effect.UNKNOWN),
  /** The answer did not arrive; it may have run. */
  IN_DOUBT(Effect.UNKNOWN),
  /** The connection ended before the answer was complete; it may have run. */
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

  /** Returns whether it is certain that the statement had no effect. */
  public boolean hadNoEffect() {
    return effect == Effect.NOTHING;
  }
}
