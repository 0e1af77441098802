package org.pollenspar.core.request;

import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.process.ErrorKind;

/** Where a read is sent, as decided by a {@link ReadRouter}. */
public sealed interface RouteDecision {

  /**
   * Send the read to this database.
   *
   * @param databaseId id of the database
   * @param role last known role of the database
   */
  record Use(String databaseId, DatabaseRole role) implements RouteDecision {}

  /**
   * Decide again after the next probe answer, at the latest at the given time.
   *
   * @param untilNanos monotonic time at which the decision can change without a probe answer
   */
  record Wait(long untilNanos) implements RouteDecision {}

  /**
   * No database satisfied the read before its deadline; nothing was run.
   *
   * @param kind error for the caller
   */
  record Refuse(ErrorKind kind) implements RouteDecision {}
}
