package org.pollenspar.core.request;

import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.process.ErrorKind;

/** Where a read goes. */
public sealed interface RouteDecision {

  /**
   * Send it to this database.
   *
   * @param databaseId name of the database
   * @param role its role as last known
   */
  record Use(String databaseId, DatabaseRole role) implements RouteDecision {}

  /**
   * Ask again after the next probe answer, and at this time at the latest.
   *
   * @param untilNanos when the answer may change without a probe answer
   */
  record Wait(long untilNanos) implements RouteDecision {}

  /**
   * No database satisfied the read within its deadline; nothing was run.
   *
   * @param kind reason
   */
  record Refuse(ErrorKind kind) implements RouteDecision {}
}
