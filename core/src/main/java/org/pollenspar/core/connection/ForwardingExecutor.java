package org.pollenspar.core.connection;

import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.version.Route;

/**
 * Runs statements at home hosts of their group, for a host without connections of its own.
 *
 * <p>The home decides on everything: which database, whether the primary may be used, which
 * position a replica must include, the order by rank and refusals. So the proof that rests on the
 * confirmation of a host applies to the home, and this host adds nothing but the way there and
 * back. What it tells a caller when that way breaks must hold whatever the home did.
 */
public record ForwardingExecutor(HomeSelection homes, HomeChannel.Directory channels)
    implements StatementExecutor {
  /** Time after the statement's time limit at the home in which the answer must have arrived. */
  static final long ANSWER_MARGIN_MS = 300;

  /** Homes that a statement is sent to, one after the other. */
  private static final int MAX_ATTEMPTS = 3;

  @Override
  public StatementExecution statement(
      SessionContext context,
      Route route,
      SessionState sessionState,
      SessionRequest request,
      @Nullable Position lastCommit,
      Consumer<Answer> done) {
    return new ForwardedStatement(this, context, route, sessionState, request, lastCommit, done);
  }

  @Override
  public OpenTransaction transaction(
      SessionContext context,
      Route route,
      SessionState sessionState,
      boolean readOnly,
      @Nullable Position lastCommit) {
    return new ForwardedTransaction(this, context, route, sessionState, readOnly, lastCommit);
  }

  /** Returns the next home to send a statement to; null if there is none or enough were tried. */
  @Nullable Member next(String group, String organisation, Set<Member> tried) {
    return tried.size() < MAX_ATTEMPTS ? homes.next(group, organisation, tried) : null;
  }

  /** Returns the text of a refusal because no home host can be asked. */
  public static String noHome(String group) {
    return "no home host of group " + group + " can run this now; retry in 300 ms";
  }
}
