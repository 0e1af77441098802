package org.pollenspar.core.connection;

import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.version.Route;

/** Receives the final answer of each statement, for logs and metrics. */
public interface DecisionListener {
  /**
   * A statement was answered or refused.
   *
   * @param pool pool of the database that ran or refused the statement; null if none was involved
   * @param attempts number of attempts to run it at a database
   */
  void answered(
      SessionRequest request,
      @Nullable Route route,
      @Nullable ConnectionPool pool,
      int attempts,
      Answer answer);
}
