package org.pollenspar.core.connection;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.version.Organisation.RateLimit;
import org.pollenspar.core.version.Route;

/**
 * Runs statements of callers with the grants that their organisations need: one for each statement
 * outside a transaction, and one for each transaction, asked for with its first statement.
 *
 * <p>Without a limit, the statement goes to the other executor as if this one weren't there.
 */
public record QuotaExecutor(StatementExecutor executor, QuotaClient quotas)
    implements StatementExecutor {
  @Override
  public StatementExecution statement(
      SessionContext context,
      Route route,
      SessionState sessionState,
      SessionRequest request,
      @Nullable Position lastCommit,
      Consumer<Answer> done) {
    return limit(context, sessionState) == null
        ? executor.statement(context, route, sessionState, request, lastCommit, done)
        : new QuotaStatement(this, context, route, sessionState, request, lastCommit, done);
  }

  @Override
  public OpenTransaction transaction(
      SessionContext context,
      Route route,
      SessionState sessionState,
      boolean readOnly,
      @Nullable Position lastCommit) {
    OpenTransaction transaction =
        executor.transaction(context, route, sessionState, readOnly, lastCommit);
    return limit(context, sessionState) == null
        ? transaction
        : new QuotaTransaction(this, context, route, sessionState, transaction);
  }

  private static @Nullable RateLimit limit(SessionContext context, SessionState sessionState) {
    return QuotaCoordinators.limit(context.routes().get(), sessionState.organisation());
  }

  /**
   * Asks for a grant; see {@link QuotaClient#ask}. Grants at once if the organisation has no limit
   * any more.
   */
  Runnable ask(SessionContext context, SessionState sessionState, QuotaClient.Callback callback) {
    @Nullable RateLimit limit = limit(context, sessionState);
    if (limit == null) {
      callback.granted(() -> {});
      return () -> {};
    }
    return quotas.ask(
        sessionState.organisation(), limit, context.routes().get().version(), callback);
  }

  static String refusal(SessionState sessionState, long retryAfterMillis) {
    return "organisation "
        + sessionState.organisation()
        + " has reached its rate limit; retry in "
        + Math.max(1, retryAfterMillis)
        + " ms";
  }
}
