package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Confirmation;
import org.pollenspar.core.process.CoordinationStore;
import org.pollenspar.core.process.FakeTime;
import org.pollenspar.core.process.FleetMessages;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.PrimaryAuthority;
import org.pollenspar.core.process.PrimaryRecord;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.PreparedShape;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.version.Organisations;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;
import org.pollenspar.core.version.RouteTable;

/**
 * Hosts of several failure domains before one group, on simulated time. Each host has the real
 * classes; the connections between hosts are modelled by {@link Link}.
 */
final class ForwardingFixture {
  static final String GROUP = SessionFixture.GROUP;
  static final long LINK_DELAY_MS = 1;

  /** Limit of the bytes that each host holds for callers; the tests' usual load is far below. */
  static final long MEMORY_LIMIT = 8 << 20;

  final FakeTime time = new FakeTime();
  final Map<String, HostUnderTest> hosts = new LinkedHashMap<>();
  private final PhysicalConnection.Opener databases;
  private final Collection<DatabaseEntry> entries;
  private final RouteTable routes;

  /** Creates the fixture; the opener is made with the fixture's time. */
  ForwardingFixture(
      Function<FakeTime, PhysicalConnection.Opener> opener,
      Collection<DatabaseEntry> entries,
      Map<String, Route> routes) {
    this(opener, entries, routes, null);
  }

  /** Creates the fixture with organisations, which are null if callers need no keys. */
  ForwardingFixture(
      Function<FakeTime, PhysicalConnection.Opener> opener,
      Collection<DatabaseEntry> entries,
      Map<String, Route> routes,
      @Nullable Organisations organisations) {
    this.databases = opener.apply(time);
    this.entries = entries;
    this.routes =
        new RouteTable(1, routes, Map.of(GROUP, new RouteTable.Group(49, 0)), 3_000, organisations);
  }

  /** Returns the routes "till", "own" and "old", one of each kind. */
  static Map<String, Route> routesOfEachKind() {
    Map<String, Route> routes = new HashMap<>();
    routes.put("till", new Route("till", "till", GROUP, RouteKind.PRIMARY, 0, 800, 150, 0));
    routes.put(
        "own", new Route("own", "own", GROUP, RouteKind.READ_YOUR_WRITES, 1_500, 800, 250, 1));
    routes.put("old", new Route("old", "old", GROUP, RouteKind.BOUNDED, 1_500, 800, 1_000, 2));
    return routes;
  }

  HostUnderTest add(String name, String domain) {
    HostUnderTest host = new HostUnderTest(name, domain);
    hosts.put(name, host);
    return host;
  }

  List<Member> members() {
    return hosts.values().stream().map(host -> host.self).toList();
  }

  /** Makes all hosts use an assignment. */
  void assign(HomeAssignment assignment) {
    hosts.values().forEach(host -> host.assign(assignment));
  }

  /** One host with its routers, links to homes and the confirmation of the store. */
  final class HostUnderTest implements HomeChannel.Directory, FleetMessages {
    final Member self;
    final Confirmation confirmation = new Confirmation(time);
    final PrimaryAuthority authority = new PrimaryAuthority(confirmation);
    final GroupRouter router;
    final HomeSelection selection;
    final ForwardingExecutor forwarding;
    final SessionContext context;
    final Map<String, Link> links = new HashMap<>();
    final List<HostUnderTest> unreachable = new ArrayList<>();
    final CallerBackpressure backpressure =
        new CallerBackpressure(new CallerBackpressure.Limits(MEMORY_LIMIT, 1_000, 30_000, 10_000));
    boolean accepting = true;
    boolean frozen;
    private HomeAssignment assignment = new HomeAssignment(List.of(), 1);

    HostUnderTest(String name, String domain) {
      self = new Member(name, name, name + "-1", domain, 1_000, false);
      selection = new HomeSelection(self, this, time, time);
      forwarding = new ForwardingExecutor(selection, this);
      router = new GroupRouter(GROUP, domain, authority, databases, SlotPermits.NONE, time, time);
      router.databases(entries);
      confirm();
      authority.update(PrimaryRecord.leading(GROUP, "p", 1, 1, 10));
      context =
          new SessionContext(
              () -> routes,
              group -> executor(),
              time,
              time,
              (request, route, pool, attempts, answer) -> {});
    }

    private StatementExecutor executor() {
      boolean home = assignment.includes(self.name());
      if (routes.organisations() != null) {
        return new OrganisationExecutor(router, forwarding, home);
      }
      return home ? new LocalExecutor(router) : forwarding;
    }

    void confirm() {
      confirmation.renewed(confirmation.now());
    }

    void assign(HomeAssignment newAssignment) {
      assign(newAssignment, OrganisationHomes.NONE);
    }

    void assign(HomeAssignment newAssignment, OrganisationHomes organisations) {
      assignment = newAssignment;
      selection.assign(GROUP, newAssignment, organisations);
      router.share(newAssignment.includes(self.name()) ? newAssignment.connections() : 1);
    }

    Caller caller(String database) {
      return caller(database, "");
    }

    Caller caller(String database, String key) {
      return new Caller(this, database, key);
    }

    /** Ends all connections that other hosts have to this one. */
    void cutIncoming() {
      incoming().forEach(Link::cut);
    }

    /** Lets the host run again; what arrived meanwhile is handled now. */
    void thaw() {
      frozen = false;
      incoming().forEach(Link::thaw);
    }

    private List<Link> incoming() {
      return hosts.values().stream()
          .map(host -> host.links.get(self.name()))
          .filter(Objects::nonNull)
          .toList();
    }

    @Override
    public HomeChannel channel(Member home) {
      Link known = links.get(home.name());
      if (known == null || !known.usable()) {
        known = new Link(hosts.get(home.name()));
        links.put(home.name(), known);
      }
      return known;
    }

    @Override
    public void ping(Member member, Consumer<Boolean> done) {
      HostUnderTest host = hosts.get(member.name());
      time.after(2 * LINK_DELAY_MS, () -> done.accept(!host.frozen && !unreachable.contains(host)));
    }

    @Override
    public void revoke(Member member, String group, long revision, Consumer<Boolean> done) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void watch(
        Member member,
        long afterRevision,
        long waitMillis,
        Consumer<CoordinationStore.Reply> done) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void renew(Member member, long lease, Consumer<Boolean> done) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void confirmsStoreOutage(Member member, long lease, Consumer<Boolean> done) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void reaches(Member member, String group, String database, Consumer<Boolean> done) {
      throw new UnsupportedOperationException();
    }

    /** The connection of this host to a home. */
    final class Link implements HomeChannel {
      private final HostUnderTest home;
      private final ForwardedWork work;
      private final Map<Long, Consumer<ForwardOutcome>> pending = new LinkedHashMap<>();
      private final List<Runnable> held = new ArrayList<>();
      private final boolean established;
      private long nextId = 1;
      private boolean cut;

      Link(HostUnderTest home) {
        this.home = home;
        this.established = !unreachable.contains(home);
        this.work =
            new ForwardedWork(
                home.context,
                group -> home.router,
                () -> home.accepting,
                closed -> {},
                home.backpressure);
        if (!established) {
          time.after(LINK_DELAY_MS, this::cut);
        }
      }

      @Override
      public boolean usable() {
        return !cut;
      }

      @Override
      public long forward(ForwardedRequest request, Consumer<ForwardOutcome> done) {
        long id = nextId++;
        pending.put(id, done);
        deliver(
            () ->
                work.run(
                    id,
                    request,
                    String.valueOf(request).length(),
                    outcome ->
                        time.after(
                            LINK_DELAY_MS,
                            () -> {
                              Consumer<ForwardOutcome> waiting = cut ? null : pending.remove(id);
                              if (waiting != null) {
                                waiting.accept(outcome);
                              }
                            })));
        return id;
      }

      private void deliver(Runnable message) {
        time.after(
            LINK_DELAY_MS,
            () -> {
              if (cut || !established) {
                return;
              }
              if (home.frozen) {
                held.add(message);
              } else {
                message.run();
              }
            });
      }

      void refuseNewWorkAtHome() {
        work.refuseNewWork();
      }

      /** Delivers what arrived while the home was frozen. */
      void thaw() {
        List<Runnable> messages = List.copyOf(held);
        held.clear();
        if (!cut) {
          messages.forEach(Runnable::run);
        }
      }

      /** Ends the connection. */
      void cut() {
        if (cut) {
          return;
        }
        cut = true;
        work.close();
        List<Consumer<ForwardOutcome>> unanswered = List.copyOf(pending.values());
        pending.clear();
        ForwardOutcome.Kind kind =
            established ? ForwardOutcome.Kind.LOST : ForwardOutcome.Kind.NOT_SENT;
        unanswered.forEach(done -> done.accept(ForwardOutcome.unanswered(kind, "cut")));
      }

      @Override
      public long nextTransaction() {
        return nextId++;
      }

      @Override
      public void end(long id) {
        deliver(() -> work.end(id));
      }
    }
  }

  /** A caller that records its answers. */
  final class Caller implements CallerConnection {
    final List<Answer> answers = new ArrayList<>();
    final CallerSession session;
    private int next;

    Caller(HostUnderTest host, String database, String key) {
      session = new CallerSession(host.context, database, key, this);
    }

    @Override
    public void answer(Answer answer) {
      answers.add(answer);
    }

    @Override
    public void close() {}

    void send(String id, SessionStatement statement) {
      session.receive(new SessionRequest(id, statement, time.steadyNanos()));
    }

    /** Sends a statement, advances the time and returns the answer; null if there is none. */
    Answer ask(SessionStatement statement, long millis) {
      int before = answers.size();
      send("q" + next++, statement);
      time.advance(millis);
      return answers.size() > before ? answers.get(answers.size() - 1) : null;
    }

    Answer ask(SessionStatement statement) {
      return ask(statement, 200);
    }

    Answer read(String item) {
      return ask(new SessionStatement.Read("READ " + item));
    }

    Answer write(String item) {
      return ask(new SessionStatement.Write("WRITE " + item + " data"));
    }

    Answer begin() {
      return ask(new SessionStatement.Begin(false));
    }

    Answer commit() {
      return ask(new SessionStatement.Commit());
    }

    Answer prepare(String name, boolean writes, String shape) {
      return ask(new SessionStatement.Prepare(name, new PreparedShape(writes, shape)));
    }
  }
}
