package org.pollenspar.edge.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.BrokerClient;
import org.pollenspar.core.connection.CallerConnection;
import org.pollenspar.core.connection.CallerSession;
import org.pollenspar.core.connection.DatabaseEntry;
import org.pollenspar.core.connection.ForwardedWork;
import org.pollenspar.core.connection.ForwardingExecutor;
import org.pollenspar.core.connection.GroupRouter;
import org.pollenspar.core.connection.HomeSelection;
import org.pollenspar.core.connection.QuotaService;
import org.pollenspar.core.connection.RegionalReads;
import org.pollenspar.core.connection.SessionContext;
import org.pollenspar.core.connection.SlotBrokers;
import org.pollenspar.core.process.Confirmation;
import org.pollenspar.core.process.ConfirmationRenewer;
import org.pollenspar.core.process.ControlKeys;
import org.pollenspar.core.process.CoordinationStore;
import org.pollenspar.core.process.FailoverCoordinator;
import org.pollenspar.core.process.FleetMessages;
import org.pollenspar.core.process.FleetTable;
import org.pollenspar.core.process.PrimaryAuthority;
import org.pollenspar.core.process.PrimaryClaims;
import org.pollenspar.core.process.SharedRenewal;
import org.pollenspar.core.request.Refusal;
import org.pollenspar.core.version.RouteTable;

/**
 * Wires the parts of pollenspar on one edge host and holds their common state: callers' sessions, a
 * router for each database group, and the control state, which is the fleet's members and primaries
 * as the store records them.
 *
 * <p>The node serves no caller before it has a configuration, and it is ready only while its {@link
 * Confirmation} holds. Its owner passes it what the store contains ({@link #configure}, {@link
 * #databaseRegistered}, {@link #controlChanged}) and the requests of other members.
 *
 * <p>Not thread-safe: all calls must come from the event loop, on which the timers run as well.
 */
public final class EdgeNode {
  /**
   * How long a host that has just started uses the reserved connections. For 3 s, a database still
   * counts the connections of a host that has lost power. Without the reserve, these connections
   * could use up the limit, and after a power loss on all hosts some would get no connection.
   */
  private static final long JOINING_MS = 3_500;

  /**
   * Members of a failure domain from which on one of them renews the shared lease and one watches
   * the store for all. With fewer, the calls that it saves are few, and each host stands alone.
   */
  public static final int SHARED_TASKS_MIN_MEMBERS = 8;

  private static final long HOUSEKEEPING_INTERVAL_MS = 2_000;

  /** Connections to databases that were not used for this time are closed. */
  private static final long IDLE_CONNECTION_MS = 20_000;

  /**
   * Upper bound of the wait before this host tries to take a free failover lease. The wait follows
   * from the host's name, so that hosts seldom try at the same time.
   */
  private static final int TAKEOVER_JITTER_MS = 400;

  private final NodeDependencies dependencies;
  private final PrimaryAuthority authority;
  private final Confirmation confirmation;
  private final FleetTable table;
  private final SharedRenewal renewal;
  private final ConfirmationRenewer confirmationRenewer;
  private final NodeDatabaseControl databaseControl;
  private final PrimaryClaims primaryClaims;
  private final RevocationResponder revocations;
  private final FailoverCoordinator failoverCoordinator;
  private final DatabaseDirectory directory;
  private final SlotBrokers brokers;
  private final BrokerClient permits;
  private final NodeQuotas quotas;
  private final SessionContext context;

  /** Context of the statements that other hosts forward to this host. */
  private final SessionContext forwardedContext;

  private final HomeAssigner homes;
  private final Set<ForwardedWork> forwardedWork = new HashSet<>();
  private final Map<String, GroupRouter> groupRouters = new HashMap<>();
  private final Set<CallerSession> sessions = new HashSet<>();
  private RouteTable routes = RouteTable.EMPTY;
  private boolean leaving;
  private boolean refusing;

  /** Creates a node that serves nothing before it has a configuration. */
  public EdgeNode(NodeDependencies dependencies) {
    this.dependencies = dependencies;
    this.confirmation = new Confirmation(dependencies.clocks());
    this.authority = new PrimaryAuthority(confirmation);
    this.table = new FleetTable(authority, dependencies.clocks());
    this.renewal = sharedRenewal();
    this.confirmationRenewer =
        new ConfirmationRenewer(
            dependencies.store(),
            table,
            confirmation,
            dependencies.messages(),
            renewal,
            dependencies.timers(),
            dependencies.self(),
            dependencies.log(),
            () -> leaving);
    this.directory =
        new DatabaseDirectory(dependencies.timers(), this::synchronous, this::databasesChanged);
    this.databaseControl =
        new NodeDatabaseControl(
            groupRouters,
            () -> routes,
            directory,
            dependencies.clocks(),
            dependencies.timers(),
            dependencies.statusDecoder());
    this.primaryClaims =
        new PrimaryClaims(authority, databaseControl, dependencies.timers(), dependencies.log());
    this.revocations =
        new RevocationResponder(
            authority,
            confirmation,
            dependencies.clocks(),
            dependencies.timers(),
            dependencies.log());
    this.failoverCoordinator =
        new FailoverCoordinator(
            dependencies.store(),
            table,
            databaseControl,
            dependencies.messages(),
            dependencies.promotions(),
            dependencies.timers(),
            dependencies.clocks(),
            dependencies.log(),
            dependencies.self().name(),
            authority,
            confirmationRenewer,
            Math.floorMod(dependencies.self().name().hashCode(), TAKEOVER_JITTER_MS));
    this.brokers = new SlotBrokers(dependencies.clocks(), dependencies.timers());
    this.permits = brokerClient();
    this.homes = homeAssigner();
    this.quotas = new NodeQuotas(dependencies, table, () -> routes, confirmation::holds);
    this.context = sessionContext(DecisionLog.Origin.CALLER);
    this.forwardedContext = sessionContext(DecisionLog.Origin.OTHER_HOST);
    table.listeners(this::membersChanged, failoverCoordinator::acquireLeaseIfFree);
    table.onReplicasRemoved(directory::forgetLapsed);
    authority.onRecordChanged(this::primaryChanged);
  }

  private boolean synchronous(String group) {
    return databaseControl.syncReplicas(group) > 0;
  }

  private SharedRenewal sharedRenewal() {
    return new SharedRenewal(
        dependencies.store(),
        table,
        dependencies.messages(),
        dependencies.timers(),
        dependencies.clocks(),
        dependencies.self(),
        SHARED_TASKS_MIN_MEMBERS);
  }

  private BrokerClient brokerClient() {
    return new BrokerClient(
        dependencies.self().name(),
        dependencies.self().domain(),
        dependencies.regions(),
        table::members,
        brokers,
        dependencies.brokerMessages(),
        dependencies.clocks(),
        dependencies.timers());
  }

  private HomeAssigner homeAssigner() {
    HomeSelection homeSelection =
        new HomeSelection(
            dependencies.self(),
            dependencies.regions(),
            dependencies.messages(),
            dependencies.clocks(),
            dependencies.timers());
    return new HomeAssigner(
        dependencies.self(),
        dependencies.regions(),
        groupRouters,
        () -> routes,
        table,
        directory,
        new ForwardingExecutor(homeSelection, dependencies.homeChannels()),
        dependencies.timers(),
        dependencies.log());
  }

  private SessionContext sessionContext(DecisionLog.Origin origin) {
    return new SessionContext(
        () -> routes,
        quotas.executors(origin, homes),
        dependencies.clocks(),
        dependencies.timers(),
        new DecisionLog(origin, dependencies));
  }

  /** Registers the host as a member, starts periodic tasks and registers gauges. */
  public void start() {
    confirmationRenewer.load();
    dependencies.timers().after(HOUSEKEEPING_INTERVAL_MS, this::runHousekeeping);
    dependencies.timers().after(JOINING_MS, homes::endJoining);
    dependencies.metrics().gauge("sessions", sessions::size);
    dependencies.metrics().gauge("configuration_version", () -> routes.version());
    dependencies.metrics().gauge("confirmation_age_ms", confirmation::ageMillis);
    dependencies.metrics().gauge("brokered_databases", brokers::size);
    dependencies.metrics().gauge("permits_granted", brokers::grants);
    dependencies.metrics().gauge("permits_refused", brokers::refusals);
    homes.registerGauges(dependencies.metrics());
  }

  private void runHousekeeping() {
    for (GroupRouter group : groupRouters.values()) {
      group.pools().forEach(pool -> pool.closeUnused(IDLE_CONNECTION_MS));
    }
    if (confirmationRenewer.loaded()) {
      failoverCoordinator.acquireLeaseIfFree();
    }
    dependencies.timers().after(HOUSEKEEPING_INTERVAL_MS, this::runHousekeeping);
  }

  /** Returns the control table: members, primaries and leases as the store records them. */
  public FleetTable table() {
    return table;
  }

  /** Reads the whole control table again, after events may have been missed. */
  public void reload() {
    confirmationRenewer.load();
  }

  /** Applies one change of the control table; ignored before the table was read completely. */
  public void controlChanged(CoordinationStore.Item item) {
    if (!confirmationRenewer.loaded()) {
      return;
    }
    table.apply(item);
    boolean own = item.key().equals(ControlKeys.member(dependencies.self().name()));
    if (item.key().equals(ControlKeys.SHARED_LEASE) || own) {
      confirmationRenewer.registerOrRenew();
    }
  }

  /** Applies a configuration; ignored unless its version is higher than the current one. */
  public void configure(RouteTable newRoutes) {
    if (newRoutes.version() <= routes.version()) {
      return;
    }
    dependencies
        .log()
        .changed(
            "configuration_in_force",
            String.valueOf(newRoutes.version()),
            newRoutes.routes().size() + " routes, previous version " + routes.version());
    routes = dependencies.quotaWindow().granted(newRoutes);
    for (String group : newRoutes.groups().keySet()) {
      if (!groupRouters.containsKey(group)) {
        GroupRouter router =
            new GroupRouter(
                group,
                dependencies.self().domain(),
                authority,
                dependencies.connector(),
                permits,
                dependencies.clocks(),
                dependencies.timers(),
                RegionalReads.of(dependencies.regions(), dependencies.self(), group),
                dependencies.log());
        groupRouters.put(group, router);
        databasesChanged(group);
      }
    }
    homes.assign();
    quotas.configurationChanged();
    List.copyOf(sessions).forEach(CallerSession::configurationChanged);
  }

  /**
   * Adds a database or applies its changed registration.
   *
   * @param revision revision of the store at which the registration was written
   */
  public void databaseRegistered(DatabaseEntry entry, long revision) {
    directory.registered(entry);
    primaryClaims.registered(entry.group(), entry.id(), entry.primary(), revision);
  }

  /** Removes a database after a grace time, unless it registers again. */
  public void databaseUnregistered(String id) {
    directory.unregistered(id);
  }

  /**
   * Treats all known databases that are not among the present ones as unregistered, because their
   * removal may have been missed.
   */
  public void databasesLoaded(Set<String> present) {
    for (String id : directory.ids()) {
      if (!present.contains(id)) {
        directory.unregistered(id);
      }
    }
  }

  private void databasesChanged(String group) {
    @Nullable GroupRouter router = groupRouters.get(group);
    List<DatabaseEntry> entries = directory.inGroup(group);
    primaryClaims.databasesChanged(group, entries.stream().map(DatabaseEntry::id).toList());
    if (router != null) {
      router.databases(entries);
      dependencies.log().changed("databases_changed", group, entries.toString());
      homes.schedule();
      failoverCoordinator.databasesChanged(group);
    }
  }

  private void membersChanged() {
    permits.membersChanged();
    quotas.membersChanged();
    homes.schedule();
  }

  /** Returns the work of a new connection over which another host may forward statements. */
  public ForwardedWork acceptForwardedWork() {
    ForwardedWork work =
        new ForwardedWork(
            forwardedContext,
            groupRouters::get,
            this::ready,
            forwardedWork::remove,
            dependencies.backpressure());
    forwardedWork.add(work);
    return work;
  }

  private void primaryChanged(String group) {
    primaryClaims.recordChanged(group);
    @Nullable GroupRouter router = groupRouters.get(group);
    if (router != null) {
      router.primaryChanged();
    }
    dependencies.log().changed("primary_known", group, String.valueOf(authority.record(group)));
  }

  /** Returns whether the load balancer should send callers to this host. */
  public boolean ready() {
    return !leaving && configured() && confirmation.holds();
  }

  /** Returns whether a configuration was applied. */
  public boolean configured() {
    return routes.version() >= 0;
  }

  /** Returns whether a route exists for the database name that a caller gave. */
  public boolean hasRoute(String database) {
    return routes.route(database) != null;
  }

  /**
   * Returns the refusal of a session; null if it may be opened.
   *
   * @param key key of the caller; empty for none
   */
  public @Nullable Refusal refusalOfSession(String database, String key) {
    return SessionRefusals.of(
        routes, refusing, database, route -> routes.organisation(route, key) != null);
  }

  /** Explains where a statement would go now, and changes nothing. */
  public HostExplanation explain(ExplainQuestion question) {
    return new NodeExplainer(
            dependencies.self(), authority, confirmation, groupRouters, homes, quotas)
        .explain(question, ready(), refusing, routes);
  }

  /**
   * Opens a session whose answers go to the connection.
   *
   * @param key key of the caller; empty for none
   */
  public CallerSession openSession(String database, String key, CallerConnection connection) {
    CallerSession session = new CallerSession(context, database, key, connection);
    sessions.add(session);
    return session;
  }

  /** Ends a session whose caller disconnected. */
  public void callerDisconnected(CallerSession session) {
    session.callerDisconnected();
    sessions.remove(session);
  }

  /** Stops using a group's primary because another host replaces it. */
  public void revoke(String group, long revision, Consumer<Boolean> done) {
    revocations.revoke(group, revision, done);
  }

  /** Renews the shared lease for another member; see {@link FleetMessages#renew}. */
  public void renewForMember(long lease, Consumer<Boolean> done) {
    renewal.renewForMember(lease, done);
  }

  /** Returns whether this host confirms an outage of the store; see {@link FleetMessages}. */
  public boolean confirmsStoreOutage(long lease) {
    return confirmationRenewer.confirmsStoreOutage(lease)
        && !failoverCoordinator.changeInProgress();
  }

  /** Returns the access to the databases of all groups, for changes of primaries. */
  public NodeDatabaseControl databaseControl() {
    return databaseControl;
  }

  /** Returns the brokers that run on this host. */
  public SlotBrokers brokers() {
    return brokers;
  }

  /** Returns what coordinates the rates of organisations on this host. */
  public QuotaService quotas() {
    return quotas.service();
  }

  /**
   * Starts to leave the fleet: the host is no longer ready and no longer replaces primaries; new
   * sessions are still served.
   */
  public void beginLeaving() {
    leaving = true;
    failoverCoordinator.stop();
  }

  /** Closes each open session as soon as it is idle. */
  public void closeIdleSessions() {
    List.copyOf(sessions).forEach(CallerSession::closeWhenIdle);
  }

  /**
   * Refuses all statements that have not started as not run, and new sessions; rolls back
   * transactions that wait for their caller's next statement.
   */
  public void refuseNewWork() {
    refusing = true;
    List.copyOf(sessions).forEach(CallerSession::refuseNewWork);
    forwardedWork.forEach(ForwardedWork::refuseNewWork);
  }

  /**
   * Returns whether no session is open, no statement of another host is in progress, and the
   * failover lease is released.
   */
  public boolean drained() {
    return sessions.isEmpty()
        && forwardedWork.stream().allMatch(ForwardedWork::idle)
        && failoverCoordinator.released();
  }

  /** Removes this host from the members; its confirmation no longer holds from now on. */
  public void unregister(Runnable done) {
    confirmationRenewer.unregister(done);
  }
}
