package org.pollenspar.edge.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.BrokerClient;
import org.pollenspar.core.connection.BrokerMessages;
import org.pollenspar.core.connection.CallerConnection;
import org.pollenspar.core.connection.CallerSession;
import org.pollenspar.core.connection.ConnectionPool;
import org.pollenspar.core.connection.ConnectionShare;
import org.pollenspar.core.connection.ControlCommandRequest;
import org.pollenspar.core.connection.DatabaseEntry;
import org.pollenspar.core.connection.GroupRouter;
import org.pollenspar.core.connection.PhysicalConnection;
import org.pollenspar.core.connection.SessionContext;
import org.pollenspar.core.connection.SlotBrokers;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Confirmation;
import org.pollenspar.core.process.ConfirmationRenewer;
import org.pollenspar.core.process.ControlKeys;
import org.pollenspar.core.process.CoordinationStore;
import org.pollenspar.core.process.DatabaseControl;
import org.pollenspar.core.process.FailoverCoordinator;
import org.pollenspar.core.process.FleetMessages;
import org.pollenspar.core.process.FleetTable;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.PrimaryAuthority;
import org.pollenspar.core.process.PromotionService;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.version.RouteTable;

/** The product on one edge host: sessions, router of each group, and the control state. */
public final class EdgeNode implements DatabaseControl {
  /** Part of a database's connection limit that hosts share; the rest is for restarts. */
  private static final double REGULAR_FRACTION = 0.8;

  /**
   * Databases count the connections of a host that lost power for 3 s. A host that has just started
   * takes its part of the rest until then, so that after a loss of power everywhere all hosts get a
   * connection.
   */
  private static final long JOINING_MS = 3_500;

  private static final long RELEASE_TIMEOUT_MS = 400;
  private static final long RECENT_ANSWER_MS = 700;
  private static final long HOUSEKEEPING_INTERVAL_MS = 2_000;
  private static final long IDLE_CONNECTION_MS = 20_000;

  /** Longest wait before taking a free duty, takeoverJitter over the hosts by their names. */
  private static final int TAKEOVER_JITTER_MS = 400;

  /**
   * What a node needs from its surroundings.
   *
   * @param statusDecoder decodes the row of {@link DatabaseCommand.Status}; null if it can't
   */
  public record Dependencies(
      Member self,
      String domain,
      Clocks clocks,
      Timers timers,
      CoordinationStore store,
      FleetMessages messages,
      BrokerMessages brokerMessages,
      PromotionService promotions,
      PhysicalConnection.Opener opener,
      Function<String, DatabaseControl.@Nullable DatabaseStatus> statusDecoder,
      EventLog log,
      EdgeMetrics metrics) {}

  private final Dependencies dependencies;
  private final PrimaryAuthority authority;
  private final Confirmation confirmation;
  private final FleetTable table;
  private final ConfirmationRenewer epoch;
  private final FailoverCoordinator duty;
  private final DatabaseDirectory directory;
  private final SlotBrokers brokers;
  private final BrokerClient permits;
  private final SessionContext context;
  private final Map<String, GroupRouter> groups = new HashMap<>();
  private final Set<CallerSession> sessions = new HashSet<>();
  private RouteTable routes = RouteTable.EMPTY;
  private boolean joining = true;
  private boolean leaving;

  /** Creates a node that serves nothing before it has a configuration. */
  public EdgeNode(Dependencies dependencies) {
    this.dependencies = dependencies;
    this.confirmation = new Confirmation(dependencies.clocks());
    this.authority = new PrimaryAuthority(confirmation);
    this.table = new FleetTable(authority, dependencies.clocks());
    this.epoch =
        new ConfirmationRenewer(
            dependencies.store(),
            table,
            confirmation,
            dependencies.messages(),
            dependencies.timers(),
            dependencies.self(),
            dependencies.log(),
            () -> leaving);
    int takeoverJitter = Math.floorMod(dependencies.self().name().hashCode(), TAKEOVER_JITTER_MS);
    this.duty =
        new FailoverCoordinator(
            dependencies.store(),
            table,
            this,
            dependencies.messages(),
            dependencies.promotions(),
            dependencies.timers(),
            dependencies.clocks(),
            dependencies.log(),
            dependencies.self().name(),
            authority,
            epoch,
            takeoverJitter);
    this.directory = new DatabaseDirectory(dependencies.timers(), this::databasesChanged);
    this.brokers = new SlotBrokers(dependencies.clocks(), dependencies.timers());
    this.permits =
        new BrokerClient(
            dependencies.self().name(),
            table::members,
            brokers,
            dependencies.brokerMessages(),
            dependencies.clocks(),
            dependencies.timers());
    this.context =
        new SessionContext(
            () -> routes,
            groups::get,
            dependencies.clocks(),
            dependencies.timers(),
            new DecisionLog(dependencies.log(), dependencies.metrics(), dependencies.clocks()));
    table.listeners(this::membersChanged, duty::acquireLeaseIfFree);
    authority.onRecordChanged(this::primaryChanged);
  }

  /** Starts the control part. */
  public void start() {
    epoch.load();
    dependencies.timers().after(HOUSEKEEPING_INTERVAL_MS, this::runHousekeeping);
    dependencies.timers().after(JOINING_MS, this::endJoining);
    dependencies.metrics().gauge("sessions", sessions::size);
    dependencies.metrics().gauge("configuration_version", () -> routes.version());
    dependencies.metrics().gauge("confirmation_age_ms", confirmation::ageMillis);
    dependencies.metrics().gauge("brokered_databases", brokers::size);
    dependencies.metrics().gauge("permits_granted", brokers::grants);
    dependencies.metrics().gauge("permits_refused", brokers::refusals);
  }

  private void endJoining() {
    joining = false;
    updateShares();
  }

  private void runHousekeeping() {
    for (GroupRouter group : groups.values()) {
      group.pools().forEach(pool -> pool.closeUnused(IDLE_CONNECTION_MS));
    }
    if (epoch.loaded()) {
      duty.acquireLeaseIfFree();
    }
    dependencies.timers().after(HOUSEKEEPING_INTERVAL_MS, this::runHousekeeping);
  }

  /** Returns the table of members and primaries. */
  public FleetTable table() {
    return table;
  }

  /** Reads the whole control table again. */
  public void reload() {
    epoch.load();
  }

  /** Takes over one change of the control table. */
  public void controlChanged(CoordinationStore.Item item) {
    if (!epoch.loaded()) {
      return;
    }
    table.apply(item);
    boolean own = item.key().equals(ControlKeys.member(dependencies.self().name()));
    if (item.key().equals(ControlKeys.SHARED_LEASE) || own) {
      epoch.registerOrRenew();
    }
  }

  /** Puts a configuration in force, unless it is older than the one in force. */
  public void configure(RouteTable newRoutes) {
    if (newRoutes.version() <= routes.version()) {
      return;
    }
    dependencies
        .log()
        .changed(
            "configuration_in_force",
            String.valueOf(newRoutes.version()),
            newRoutes.routes().size() + " routes, before " + routes.version());
    routes = newRoutes;
    for (String group : newRoutes.groups().keySet()) {
      if (!groups.containsKey(group)) {
        GroupRouter router =
            new GroupRouter(
                group,
                dependencies.domain(),
                authority,
                dependencies.opener(),
                permits,
                dependencies.clocks(),
                dependencies.timers());
        groups.put(group, router);
        databasesChanged(group);
      }
    }
    updateShares();
  }

  /** Takes over the registration of a database. */
  public void databaseRegistered(DatabaseEntry entry) {
    directory.registered(entry);
  }

  /** Notes that a registration went. */
  public void databaseUnregistered(String id) {
    directory.unregistered(id);
  }

  /** Notes all registrations that exist; others went. */
  public void databasesLoaded(Set<String> present) {
    for (String id : directory.ids()) {
      if (!present.contains(id)) {
        directory.unregistered(id);
      }
    }
  }

  private void databasesChanged(String group) {
    @Nullable GroupRouter router = groups.get(group);
    if (router != null) {
      List<DatabaseEntry> entries = directory.inGroup(group);
      router.databases(entries);
      dependencies.log().changed("databases_changed", group, entries.toString());
    }
  }

  private void membersChanged() {
    permits.membersChanged();
    updateShares();
  }

  private void updateShares() {
    int members = Math.max(2, table.members().size());
    for (GroupRouter router : groups.values()) {
      RouteTable.@Nullable Group group = routes.groups().get(router.group());
      if (group != null) {
        int shared = (int) (REGULAR_FRACTION * group.maxConnections());
        int available = joining ? group.maxConnections() - shared : shared;
        router.share(new ConnectionShare(available, 0, members).share());
      }
    }
  }

  private void primaryChanged(String group) {
    @Nullable GroupRouter router = groups.get(group);
    if (router != null) {
      router.primaryChanged();
    }
    dependencies.log().changed("primary_known", group, String.valueOf(authority.record(group)));
  }

  /** Returns whether callers can be served. */
  public boolean ready() {
    return !leaving && configured() && confirmation.holds();
  }

  /** Returns whether a configuration is in force. */
  public boolean configured() {
    return routes.version() >= 0;
  }

  /** Returns whether a route has this database name. */
  public boolean hasRoute(String database) {
    return routes.route(database) != null;
  }

  /** Opens a session. */
  public CallerSession openSession(String database, CallerConnection port) {
    CallerSession session = new CallerSession(context, database, port);
    sessions.add(session);
    return session;
  }

  /** Forgets a session whose caller left. */
  public void callerDisconnected(CallerSession session) {
    session.callerDisconnected();
    sessions.remove(session);
  }

  /** Lets go of a group's primary because another host replaces it. */
  public void revoke(String group, long revision, Consumer<Boolean> done) {
    authority.revoke(group, revision);
    boolean[] reported = {false};
    Runnable release =
        () -> {
          if (!reported[0]) {
            reported[0] = true;
            authority.revocationAcknowledged(group);
            done.accept(true);
          }
        };
    authority.whenWritesFinished(group, release);
    dependencies.timers().after(RELEASE_TIMEOUT_MS, release);
  }

  /** Returns whether this host witnesses an outage of the store; see {@link FleetMessages}. */
  public boolean confirmsStoreOutage(long lease) {
    return epoch.confirmsStoreOutage(lease) && !duty.changeInProgress();
  }

  /** Says whether a database answers this host. */
  public void reaches(String group, String database, Consumer<Boolean> done) {
    @Nullable ConnectionPool pool = pool(group, database);
    if (pool == null) {
      done.accept(false);
    } else if (pool.answerAgeMillis() >= 0 && pool.answerAgeMillis() < RECENT_ANSWER_MS) {
      done.accept(true);
    } else {
      ControlCommandRequest.run(
          pool,
          new DatabaseCommand.Status(),
          dependencies.clocks(),
          dependencies.timers(),
          answer -> done.accept(answer != null));
    }
  }

  private @Nullable ConnectionPool pool(String group, String database) {
    @Nullable GroupRouter router = groups.get(group);
    return router == null ? null : router.pool(database);
  }

  /** Returns the brokers of databases that this host runs. */
  public SlotBrokers brokers() {
    return brokers;
  }

  /** Begins to leave: not ready any more; new sessions are still served. */
  public void beginLeaving() {
    leaving = true;
    duty.stop();
  }

  /** Closes sessions as they become idle. */
  public void closeIdleSessions() {
    List.copyOf(sessions).forEach(CallerSession::closeWhenIdle);
  }

  /** Ends transactions that wait for their caller. */
  public void endTransactions() {
    List.copyOf(sessions).forEach(CallerSession::endTransaction);
  }

  /** Returns whether no session is left. */
  public boolean drained() {
    return sessions.isEmpty();
  }

  /** Takes this host off the list of members; its proofs are void from now on. */
  public void unregister(Runnable done) {
    confirmation.withdraw();
    dependencies
        .store()
        .transact(
            List.of(),
            List.of(),
            List.of(ControlKeys.member(dependencies.self().name())),
            ignored -> done.run());
  }

  @Override
  public Collection<String> groups() {
    return routes.groups().keySet();
  }

  @Override
  public Collection<Candidate> candidates(String group) {
    List<Candidate> result = new ArrayList<>();
    @Nullable GroupRouter router = groups.get(group);
    if (router != null) {
      for (ConnectionPool pool : router.pools()) {
        DatabaseEntry entry = pool.entry();
        if (directory.isRegistered(entry.id())) {
          result.add(
              new Candidate(entry.id(), entry.draining(), entry.primary(), pool.answerAgeMillis()));
        }
      }
    }
    return result;
  }

  @Override
  public int syncReplicas(String group) {
    RouteTable.@Nullable Group settings = routes.groups().get(group);
    return settings == null ? 0 : settings.syncReplicas();
  }

  @Override
  public void status(
      String group, String database, Consumer<DatabaseControl.@Nullable DatabaseStatus> done) {
    control(group, database, new DatabaseCommand.Status(), done);
  }

  @Override
  public void stepDown(
      String group,
      String database,
      long term,
      Consumer<DatabaseControl.@Nullable DatabaseStatus> done) {
    control(group, database, new DatabaseCommand.StepDown(term), done);
  }

  private void control(
      String group,
      String database,
      DatabaseCommand command,
      Consumer<DatabaseControl.@Nullable DatabaseStatus> done) {
    @Nullable ConnectionPool pool = pool(group, database);
    if (pool == null) {
      done.accept(null);
      return;
    }
    ControlCommandRequest.run(
        pool,
        command,
        dependencies.clocks(),
        dependencies.timers(),
        answer -> done.accept(decode(answer)));
  }

  private DatabaseControl.@Nullable DatabaseStatus decode(@Nullable Answer answer) {
    return answer == null || answer.rows().isEmpty()
        ? null
        : dependencies.statusDecoder().apply(answer.rows().get(0));
  }
}
