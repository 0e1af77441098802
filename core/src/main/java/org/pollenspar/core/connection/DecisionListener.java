package org.pollenspar.core.connection;

import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.version.Route;

/** Receives what was decided about statements, for logs and metrics. */
public interface DecisionListener {
  /**
   * A statement got its final answer.
   *
   * @param pool database that ran it or refused it; null if none was involved
   * @param attempts how many databases were tried
   */
  void answered(
      SessionRequest request,
      @Nullable Route route,
      @Nullable ConnectionPool pool,
      int attempts,
      Answer answer);
}
