package org.pollenspar.core.connection;

import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Regions;
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

  /**
   * A statement was forwarded, and its caller is answered.
   *
   * @param home home host that it was last sent to; null if there was none
   * @param attempts number of home hosts that it was sent to
   */
  default void forwarded(
      SessionRequest request, Route route, @Nullable Member home, int attempts, Answer answer) {}

  /**
   * A database was chosen for a statement, with several regions. A statement that is retried has
   * several choices.
   *
   * @param reason why the database was chosen
   */
  default void placed(Route route, Regions.Distance distance, ReadPlacement.Reason reason) {}
}
