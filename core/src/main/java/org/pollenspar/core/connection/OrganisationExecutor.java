package org.pollenspar.core.connection;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.version.Route;

/**
 * Runs statements of a group at the home of their organisation: locally if that is this host, else
 * by forwarding.
 *
 * @param home whether this host is a home of the group; if so, it runs statements without an
 *     organisation itself
 */
public record OrganisationExecutor(GroupRouter router, ForwardingExecutor forwarding, boolean home)
    implements StatementExecutor {
  @Override
  public StatementExecution statement(
      SessionContext context,
      Route route,
      SessionState sessionState,
      SessionRequest request,
      @Nullable Position lastCommit,
      Consumer<Answer> done) {
    return executor(sessionState)
        .statement(context, route, sessionState, request, lastCommit, done);
  }

  @Override
  public OpenTransaction transaction(
      SessionContext context,
      Route route,
      SessionState sessionState,
      boolean readOnly,
      @Nullable Position lastCommit) {
    return executor(sessionState).transaction(context, route, sessionState, readOnly, lastCommit);
  }

  private StatementExecutor executor(SessionState sessionState) {
    boolean local = forwarding.homes().runsHere(router.group(), sessionState.organisation(), home);
    return local ? new LocalExecutor(router) : forwarding;
  }
}
