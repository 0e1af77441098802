package org.pollenspar.edge.process;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.ConnectionPoolCounts;
import org.pollenspar.core.connection.ConnectionShare;
import org.pollenspar.core.connection.ForwardingExecutor;
import org.pollenspar.core.connection.GroupRouter;
import org.pollenspar.core.connection.HomeAssignment;
import org.pollenspar.core.connection.HomeSelection;
import org.pollenspar.core.connection.LocalExecutor;
import org.pollenspar.core.connection.OrganisationExecutor;
import org.pollenspar.core.connection.OrganisationHomes;
import org.pollenspar.core.connection.RegionHomes;
import org.pollenspar.core.connection.StatementExecutor;
import org.pollenspar.core.process.FleetTable;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Regions;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.version.Organisations;
import org.pollenspar.core.version.RouteTable;

/**
 * Assigns the home hosts of all groups on this host's knowledge of members, databases and
 * configuration, and derives from it how this host runs statements and how many connections it may
 * hold.
 *
 * <p>Not thread-safe: all calls must come from the event loop.
 */
final class HomeAssigner {
  /**
   * Fraction of a database's connection limit that the homes divide among themselves; the rest is
   * reserved for hosts that have just started, for control commands, and for homes whose lists of
   * members differ for a moment.
   */
  private static final double ESTABLISHED_FRACTION = 0.8;

  /** Delay within which changes of members and databases are gathered. */
  private static final long ASSIGNMENT_DELAY_MS = 20;

  private final Member self;
  private final Regions regions;
  private final Map<String, GroupRouter> routers;
  private final Supplier<RouteTable> routes;
  private final FleetTable table;
  private final DatabaseDirectory directory;
  private final ForwardingExecutor forwarding;
  private final Timers timers;
  private final EventLog log;
  private final Map<String, HomeAssignment> assignments = new HashMap<>();
  private final Map<String, OrganisationHomes> organisationHomes = new HashMap<>();
  private boolean joining = true;
  private boolean scheduled;

  /**
   * Creates an assigner.
   *
   * @param routers routers of the groups by name
   * @param forwarding runs the statements of groups of which this host is no home
   */
  HomeAssigner(
      Member self,
      Regions regions,
      Map<String, GroupRouter> routers,
      Supplier<RouteTable> routes,
      FleetTable table,
      DatabaseDirectory directory,
      ForwardingExecutor forwarding,
      Timers timers,
      EventLog log) {
    this.self = self;
    this.regions = regions;
    this.routers = routers;
    this.routes = routes;
    this.table = table;
    this.directory = directory;
    this.forwarding = forwarding;
    this.timers = timers;
    this.log = log;
  }

  /** Ends the time after the start in which this host uses only the reserved connections. */
  void endJoining() {
    joining = false;
    assign();
  }

  /** Assigns the homes a little later, since members often change many at once. */
  void schedule() {
    if (!scheduled) {
      scheduled = true;
      timers.after(
          ASSIGNMENT_DELAY_MS,
          () -> {
            scheduled = false;
            assign();
          });
    }
  }

  /** Assigns the homes of all groups now. */
  void assign() {
    for (GroupRouter router : routers.values()) {
      RouteTable.@Nullable Group group = routes.get().groups().get(router.group());
      if (group != null) {
        assign(router, group.maxConnections());
      }
    }
  }

  private void assign(GroupRouter router, int maxConnections) {
    int established = (int) (ESTABLISHED_FRACTION * maxConnections);
    String group = router.group();
    @Nullable Organisations organisations = routes.get().organisations();
    HomeAssignment assignment =
        RegionHomes.inEachRegion(
            HomeAssignment.of(
                group, established, directory.slots(group), table.members(), organisations != null),
            group,
            table.members(),
            regions);
    OrganisationHomes ofOrganisations =
        organisations == null
            ? OrganisationHomes.NONE
            : OrganisationHomes.of(group, assignment.homes(), organisations.all());
    logChange(group, assignments.put(group, assignment), assignment);
    logOrganisations(group, organisationHomes.put(group, ofOrganisations), ofOrganisations);
    forwarding.homes().assign(group, assignment, ofOrganisations);
    router.share(share(assignment, maxConnections - established));
  }

  /**
   * Returns how many connections this host may hold to each database of a group. One that is no
   * home uses a connection only for control commands.
   */
  private int share(HomeAssignment assignment, int reserved) {
    if (!assignment.includes(self.name())) {
      return 1;
    }
    int homes =
        assignment.everyHost() ? Math.max(2, table.members().size()) : assignment.homes().size();
    return joining ? new ConnectionShare(reserved, 0, homes).share() : assignment.connections();
  }

  private void logChange(
      String group, @Nullable HomeAssignment previous, HomeAssignment assignment) {
    boolean home = assignment.includes(self.name());
    if (previous == null || previous.includes(self.name()) != home) {
      log.changed(
          home ? "home_of_group" : "not_home_of_group",
          group,
          assignment.everyHost()
              ? "every host is a home"
              : "homes " + assignment.homes().stream().map(Member::name).toList());
    }
  }

  private void logOrganisations(
      String group, @Nullable OrganisationHomes previous, OrganisationHomes now) {
    int before = previous == null ? 0 : previous.organisationsAt(self.name());
    int here = now.organisationsAt(self.name());
    if (before != here) {
      log.changed(
          "home_of_organisations",
          group,
          here + " of " + now.orders().size() + " organisations, previously " + before);
    }
  }

  /** Returns what runs callers' statements of a group; null if the group is unknown. */
  @Nullable StatementExecutor executor(String group) {
    @Nullable GroupRouter router = routers.get(group);
    @Nullable HomeAssignment assignment = assignments.get(group);
    if (router == null) {
      return null;
    }
    boolean home = assignment == null || assignment.includes(self.name());
    if (assignment != null && !assignment.everyHost() && routes.get().organisations() != null) {
      return new OrganisationExecutor(router, forwarding, home);
    }
    return home ? new LocalExecutor(router) : forwarding;
  }

  /** Returns at which home a statement of an organisation would run; see {@link #executor}. */
  HomeSelection.Choice explain(String group, String organisation) {
    @Nullable HomeAssignment assignment = assignments.get(group);
    boolean home = assignment == null || assignment.includes(self.name());
    return forwarding.homes().explain(group, organisation, home);
  }

  /** Returns the number of groups of which this host is a home. */
  int homeGroups() {
    return (int) assignments.values().stream().filter(each -> each.includes(self.name())).count();
  }

  /** Returns the number of pairs of a group and an organisation whose home is this host. */
  int homeOrganisations() {
    return organisationHomes.values().stream()
        .mapToInt(each -> each.organisationsAt(self.name()))
        .sum();
  }

  /** Registers gauges of the homes and of the connections to the databases of all groups. */
  void registerGauges(EdgeMetrics metrics) {
    metrics.gauge("home_groups", this::homeGroups);
    metrics.gauge("home_organisations", this::homeOrganisations);
    metrics.gauge("connections_opened", () -> sum(ConnectionPoolCounts::opened));
    metrics.gauge(
        "connections_closed_to_make_room", () -> sum(ConnectionPoolCounts::closedToMakeRoom));
    for (ConnectionPoolCounts.Refusal cause : ConnectionPoolCounts.Refusal.values()) {
      metrics.gauge(
          "connection_requests_refused{cause=\"" + cause.name().toLowerCase(Locale.ROOT) + "\"}",
          () -> sum(counts -> counts.refusals(cause)));
    }
    registerReadGauges(metrics);
  }

  /** Registers gauges of the databases that reads avoid, for all groups together. */
  private void registerReadGauges(EdgeMetrics metrics) {
    metrics.gauge("database_ejections", () -> sumOfRouters(GroupRouter::ejections));
    metrics.gauge("databases_ejected", () -> sumOfRouters(GroupRouter::ejectedNow));
    metrics.gauge("reads_moved_by_attempt_limit", () -> sumOfRouters(GroupRouter::readsMoved));
  }

  private long sumOfRouters(ToLongFunction<GroupRouter> value) {
    return routers.values().stream().mapToLong(value).sum();
  }

  private long sum(ToLongFunction<ConnectionPoolCounts> value) {
    return routers.values().stream().map(GroupRouter::counts).mapToLong(value).sum();
  }
}
