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

/** The product on one edge host: sessions, a router for each group, and the control state. */
public final class EdgeNode implements DatabaseControl {
  /** Part of a database's connection limit that hosts share; the rest is for restarts. */
  private static final double SHARED_PART = 0.8;

  /**
   * Databases count the connections of a host that lost power for 3 s. A host that has just started
   * takes its part of the rest until then, so that after a loss of power everywhere all hosts get a
   * connection.
   */
  private static final long NEWCOMER_MS = 3_500;

  private static final long RELEASE_LIMIT_MS = 400;
  private static final long REACHED_MS = 700;
  private static final long HOUSEKEEPING_MS = 2_000;
  private static final long UNUSED_LINK_MS = 20_000;

  /** Longest wait before taking a free duty, spread over the hosts by their names. */
  private static final int TAKEOVER_SPREAD_MS = 400;

  /**
   * What a node needs from its surroundings.
   *
   * @param statusDecoder decodes the row of {@link DatabaseCommand.Status}; null if it can't
   */
  public record Surroundings(
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

  private final Surroundings around;
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
  private boolean newcomer = true;
  private boolean leaving;

  /** Creates a node that serves nothing before it has a configuration. */
  public EdgeNode(Surroundings around) {
    this.around = around;
    this.confirmation = new Confirmation(around.clocks());
    this.authority = new PrimaryAuthority(confirmation);
    this.table = new FleetTable(authority, around.clocks());
    this.epoch =
        new ConfirmationRenewer(
            around.store(),
            table,
            confirmation,
            around.messages(),
            around.timers(),
            around.self(),
            around.log(),
            () -> leaving);
    int spread = Math.floorMod(around.self().name().hashCode(), TAKEOVER_SPREAD_MS);
    this.duty =
        new FailoverCoordinator(
            around.store(),
            table,
            this,
            around.messages(),
            around.promotions(),
            around.timers(),
            around.clocks(),
            around.log(),
            around.self().name(),
            authority,
            epoch,
            spread);
    this.directory = new DatabaseDirectory(around.timers(), this::databasesChanged);
    this.brokers = new SlotBrokers(around.clocks(), around.timers());
    this.permits =
        new BrokerClient(
            around.self().name(),
            table::members,
            brokers,
            around.brokerMessages(),
            around.clocks(),
            around.timers());
    this.context =
        new SessionContext(
            () -> routes,
            groups::get,
            around.clocks(),
            around.timers(),
            new DecisionLog(around.log(), around.metrics(), around.clocks()));
    table.listeners(this::membersChanged, duty::acquireLeaseIfFree);
    authority.onRecordChanged(this::primaryChanged);
  }

  /** Starts the control part. */
  public void start() {
    epoch.load();
    around.timers().after(HOUSEKEEPING_MS, this::keepHouse);
    around.timers().after(NEWCOMER_MS, this::settle);
    around.metrics().gauge("sessions", sessions::size);
    around.metrics().gauge("configuration_version", () -> routes.version());
    around.metrics().gauge("confirmation_age_ms", confirmation::ageMillis);
    around.metrics().gauge("brokered_databases", brokers::size);
    around.metrics().gauge("permits_granted", brokers::grants);
    around.metrics().gauge("permits_refused", brokers::refusals);
  }

  private void settle() {
    newcomer = false;
    updateShares();
  }

  private void keepHouse() {
    for (GroupRouter group : groups.values()) {
      group.pools().forEach(pool -> pool.closeUnused(UNUSED_LINK_MS));
    }
    if (epoch.loaded()) {
      duty.acquireLeaseIfFree();
    }
    around.timers().after(HOUSEKEEPING_MS, this::keepHouse);
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
    boolean own = item.key().equals(ControlKeys.member(around.self().name()));
    if (item.key().equals(ControlKeys.SHARED_LEASE) || own) {
      epoch.registerOrRenew();
    }
  }

  /** Puts a configuration in force, unless it is older than the one in force. */
  public void configure(RouteTable newRoutes) {
    if (newRoutes.version() <= routes.version()) {
      return;
    }
    around
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
                around.domain(),
                authority,
                around.opener(),
                permits,
                around.clocks(),
                around.timers());
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
      List<DatabaseEntry> entries = directory.of(group);
      router.databases(entries);
      around.log().changed("databases_changed", group, entries.toString());
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
        int shared = (int) (SHARED_PART * group.maxConnections());
        int available = newcomer ? group.maxConnections() - shared : shared;
        router.share(new ConnectionShare(available, 0, members).share());
      }
    }
  }

  private void primaryChanged(String group) {
    @Nullable GroupRouter router = groups.get(group);
    if (router != null) {
      router.primaryChanged();
    }
    around.log().changed("primary_known", group, String.valueOf(authority.record(group)));
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
  public boolean hasDatabase(String database) {
    return routes.route(database) != null;
  }

  /** Opens a session. */
  public CallerSession open(String database, CallerConnection port) {
    CallerSession session = new CallerSession(context, database, port);
    sessions.add(session);
    return session;
  }

  /** Forgets a session whose caller left. */
  public void closed(CallerSession session) {
    session.callerDisconnected();
    sessions.remove(session);
  }

  /** Lets go of a group's primary because another host replaces it. */
  public void revoke(String group, long revision, Consumer<Boolean> done) {
    authority.revoke(group, revision);
    boolean[] answered = {false};
    Runnable release =
        () -> {
          if (!answered[0]) {
            answered[0] = true;
            authority.revocationAcknowledged(group);
            done.accept(true);
          }
        };
    authority.whenWritesFinished(group, release);
    around.timers().after(RELEASE_LIMIT_MS, release);
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
    } else if (pool.answerAgeMillis() >= 0 && pool.answerAgeMillis() < REACHED_MS) {
      done.accept(true);
    } else {
      ControlCommandRequest.run(
          pool,
          new DatabaseCommand.Status(),
          around.clocks(),
          around.timers(),
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
    around
        .store()
        .transact(
            List.of(),
            List.of(),
            List.of(ControlKeys.member(around.self().name())),
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
        if (directory.present(entry.id())) {
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
        pool, command, around.clocks(), around.timers(), answer -> done.accept(decode(answer)));
  }

  private DatabaseControl.@Nullable DatabaseStatus decode(@Nullable Answer answer) {
    return answer == null || answer.rows().isEmpty()
        ? null
        : around.statusDecoder().apply(answer.rows().get(0));
  }
}
