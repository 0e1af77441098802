package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Confirmation;
import org.pollenspar.core.process.FakeTime;
import org.pollenspar.core.process.PrimaryAuthority;
import org.pollenspar.core.process.PrimaryRecord;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.PreparedShape;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.version.Organisation;
import org.pollenspar.core.version.Organisations;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;
import org.pollenspar.core.version.RouteTable;

/**
 * Fixture: one host with a group of a primary "p" and two replicas "r1" and "r2", and a second
 * group of a primary "q" and a replica "s1" without routes, on simulated time.
 */
final class SessionFixture {
  static final String GROUP = "ledger";
  static final String SECOND_GROUP = "archive";
  final FakeTime time = new FakeTime();
  final Confirmation confirmation = new Confirmation(time);
  final PrimaryAuthority authority = new PrimaryAuthority(confirmation);
  final ScriptedDatabases databases;
  final GroupRouter router;
  final GroupRouter secondRouter;
  final SessionContext context;
  final List<String> decisions = new ArrayList<>();
  RouteTable routes;

  SessionFixture(long serviceMillis) {
    databases = new ScriptedDatabases(time, serviceMillis);
    router = new GroupRouter(GROUP, "a", authority, databases, SlotPermits.NONE, time, time);
    router.databases(
        List.of(entry("p", "b", true), entry("r1", "a", false), entry("r2", "c", false)));
    router.share(2);
    secondRouter =
        new GroupRouter(SECOND_GROUP, "a", authority, databases, SlotPermits.NONE, time, time);
    secondRouter.databases(List.of(entry("q", "b", true), entry("s1", "a", false)));
    secondRouter.share(2);
    confirmation.renewed(confirmation.now());
    authority.update(PrimaryRecord.leading(GROUP, "p", 1, 1, 10));
    authority.update(PrimaryRecord.leading(SECOND_GROUP, "q", 1, 1, 10));
    authority.onRecordChanged(
        group -> (group.equals(GROUP) ? router : secondRouter).primaryChanged());
    databases.positions.put("p", new Position(1, 100));
    databases.positions.put("r1", new Position(1, 100));
    databases.positions.put("r2", new Position(1, 100));
    Map<String, Route> table = new HashMap<>();
    table.put("till", route("till", RouteKind.PRIMARY, 0));
    table.put("own", route("own", RouteKind.READ_YOUR_WRITES, 1));
    table.put("old", route("old", RouteKind.BOUNDED, 2));
    routes = routes(1, table);
    context =
        new SessionContext(
            () -> routes,
            this::executor,
            time,
            time,
            (request, route, pool, attempts, answer) ->
                decisions.add(request.id() + " " + answer.code() + " " + attempts));
  }

  private static RouteTable routes(long version, Map<String, Route> table) {
    RouteTable.Group limits = new RouteTable.Group(49, 0);
    return new RouteTable(
        version, Map.copyOf(table), Map.of(GROUP, limits, SECOND_GROUP, limits), 3_000);
  }

  private @Nullable StatementExecutor executor(String group) {
    return switch (group) {
      case GROUP -> new LocalExecutor(router);
      case SECOND_GROUP -> new LocalExecutor(secondRouter);
      default -> null;
    };
  }

  /** Applies a configuration in which a database name leads to the second group. */
  void moveToSecondGroup(String database) {
    Map<String, Route> table = new HashMap<>(routes.routes());
    Route old = table.get(database);
    table.put(
        database,
        new Route(
            old.name(),
            old.database(),
            SECOND_GROUP,
            old.kind(),
            old.maxStalenessMillis(),
            old.statementTimeoutMillis(),
            old.targetLatencyMillis(),
            old.priority()));
    routes = routes(routes.version() + 1, table);
  }

  /** Returns the organisation of the connection over which the last command was sent. */
  String organisationOfLastConnection() {
    int last = databases.received.get(databases.received.size() - 1).connection();
    return databases.connections.get(last).organisation;
  }

  private static Route route(String name, RouteKind kind, int priority) {
    return new Route(name, name, GROUP, kind, 1_500, 800, 150, priority);
  }

  static DatabaseEntry entry(String id, String domain, boolean primary) {
    return new DatabaseEntry(id, GROUP, "10.0.0.1", 1, domain, 3, false, primary, 0);
  }

  Caller caller(String database) {
    return new Caller(database, "");
  }

  Caller caller(String database, String key) {
    return new Caller(database, key);
  }

  /** Applies a configuration with organisations, by the keys that they hold. */
  void organisations(Map<String, String> namesByKey) {
    Map<String, Organisation> byName = new HashMap<>();
    namesByKey.values().forEach(name -> byName.put(name, new Organisation(name, null)));
    routes =
        new RouteTable(
            routes.version() + 1,
            routes.routes(),
            routes.groups(),
            routes.transactionIdleMillis(),
            new Organisations(byName, namesByKey));
  }

  /** A caller that records its answers. */
  final class Caller implements CallerConnection {
    final List<Answer> answers = new ArrayList<>();
    final CallerSession session;
    boolean closed;
    private int next;

    Caller(String database, String key) {
      session = new CallerSession(context, database, key, this);
    }

    @Override
    public void answer(Answer answer) {
      answers.add(answer);
    }

    @Override
    public void close() {
      closed = true;
    }

    boolean send(SessionStatement statement) {
      return session.receive(new SessionRequest("q" + next++, statement, time.steadyNanos()));
    }

    /**
     * Sends a statement, advances the time by 1 s and returns the answer; null if there is none.
     */
    Answer ask(SessionStatement statement) {
      int before = answers.size();
      send(statement);
      time.advance(1_000);
      return answers.size() > before ? answers.get(answers.size() - 1) : null;
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
