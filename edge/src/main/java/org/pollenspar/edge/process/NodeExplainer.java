package org.pollenspar.edge.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.CallerSession;
import org.pollenspar.core.connection.ForwardingExecutor;
import org.pollenspar.core.connection.GroupExplanation;
import org.pollenspar.core.connection.GroupRouter;
import org.pollenspar.core.connection.HomeSelection;
import org.pollenspar.core.process.Confirmation;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.PrimaryAuthority;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.Refusal;
import org.pollenspar.core.version.Organisation;
import org.pollenspar.core.version.Organisations;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteTable;

/**
 * Explains where a statement would go now, with the decisions of the classes that serve statements.
 *
 * <p>A question changes nothing. In particular, no grant is requested, so a refusal by the limit of
 * an organisation is not foretold.
 *
 * <p>Not thread-safe: all calls must come from the event loop.
 */
final class NodeExplainer {
  private final Member self;
  private final PrimaryAuthority authority;
  private final Confirmation confirmation;
  private final Map<String, GroupRouter> routers;
  private final HomeAssigner homes;
  private final NodeQuotas quotas;

  NodeExplainer(
      Member self,
      PrimaryAuthority authority,
      Confirmation confirmation,
      Map<String, GroupRouter> routers,
      HomeAssigner homes,
      NodeQuotas quotas) {
    this.self = self;
    this.authority = authority;
    this.confirmation = confirmation;
    this.routers = routers;
    this.homes = homes;
    this.quotas = quotas;
  }

  /**
   * Answers a question.
   *
   * @param ready whether this host is ready for callers
   * @param stopping whether this process is about to exit
   * @param routes configuration in force
   */
  HostExplanation explain(
      ExplainQuestion question, boolean ready, boolean stopping, RouteTable routes) {
    List<Refusal> refusals = new ArrayList<>();
    @Nullable Refusal ofSession =
        SessionRefusals.of(
            routes, stopping, question.database(), route -> admitted(question, routes, route));
    if (ofSession != null) {
      refusals.add(ofSession);
    }
    @Nullable Route route = routes.route(question.database());
    @Nullable Organisation organisation =
        route == null ? null : organisation(question, routes, route);
    String runsFor = organisation == null ? RouteTable.NO_ORGANISATION : organisation.name();
    HomeSelection.@Nullable Choice home =
        route == null ? null : homes.explain(route.group(), runsFor);
    @Nullable GroupExplanation databases =
        route != null && home != null && home.here()
            ? databases(question, route, runsFor, refusals)
            : null;
    if (route != null && home != null && home.chosen() == null) {
      refusals.add(new Refusal(AnswerCode.BUSY, ForwardingExecutor.noHome(route.group())));
    }
    return new HostExplanation(
        self,
        ready,
        routes.version(),
        route,
        organisation,
        organisation == null || organisation.limit() == null
            ? List.of()
            : quotas.coordinators(organisation.name()),
        route == null ? null : authority.use(route.group()),
        route == null ? null : authority.record(route.group()),
        confirmation.remainingMillis(),
        home,
        databases,
        refusals);
  }

  /** Returns whether callers of the stated organisation, or callers without one, are served. */
  private static boolean admitted(ExplainQuestion question, RouteTable routes, Route route) {
    @Nullable String stated = question.organisation();
    return stated == null
        ? !routes.needsKey(route)
        : routes.organisationNamed(route, stated) != null;
  }

  private static @Nullable Organisation organisation(
      ExplainQuestion question, RouteTable routes, Route route) {
    @Nullable Organisations organisations = routes.organisations();
    @Nullable String stated = question.organisation();
    return organisations == null || stated == null || !routes.needsKey(route)
        ? null
        : organisations.named(stated);
  }

  private @Nullable GroupExplanation databases(
      ExplainQuestion question, Route route, String organisation, List<Refusal> refusals) {
    @Nullable GroupRouter router = routers.get(route.group());
    if (router == null) {
      refusals.add(
          new Refusal(
              AnswerCode.UNKNOWN_DATABASE, CallerSession.unknownDatabase(question.database())));
      return null;
    }
    GroupExplanation explanation =
        GroupExplanation.of(router, route, organisation, question.writes(), question.lastCommit());
    if (explanation.refusal() != null) {
      refusals.add(explanation.refusal());
    }
    return explanation;
  }
}
