package org.pollenspar.core.connection;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.version.Route;

/** Runs statements over this host's own connections to the databases of a group. */
public record LocalExecutor(GroupRouter router) implements StatementExecutor {
  @Override
  public StatementExecution statement(
      SessionContext context,
      Route route,
      SessionState sessionState,
      SessionRequest request,
      @Nullable Position lastCommit,
      Consumer<Answer> done) {
    return new SingleStatement(context, route, router, sessionState, request, lastCommit, done);
  }

  @Override
  public OpenTransaction transaction(
      SessionContext context,
      Route route,
      SessionState sessionState,
      boolean readOnly,
      @Nullable Position lastCommit) {
    return new SessionTransaction(context, route, router, sessionState, readOnly, lastCommit);
  }
}
