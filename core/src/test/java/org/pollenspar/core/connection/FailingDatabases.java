package org.pollenspar.core.connection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Confirmation;
import org.pollenspar.core.process.FakeTime;
import org.pollenspar.core.process.PrimaryAuthority;
import org.pollenspar.core.process.PrimaryRecord;
import org.pollenspar.core.process.Regions;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;
import org.pollenspar.core.version.RouteTable;

/**
 * Simulation of hosts and of a group of a primary "p" and the replicas "r1" and "r2", each of which
 * can be made to fail a share of its statements. The databases serve in order of arrival, with 4
 * slots and a queue of 64; work is log-normal with a mean of 18 ms. Callers count an answer within
 * 250 ms, and give a read up after 2 s.
 */
final class FailingDatabases {
  /** How a statement fails. */
  enum Fault {
    ERROR,
    REFUSE,
    CLOSE,
    HANG,
    SLOW
  }

  static final long OBJECTIVE_MS = 250;
  private static final long TIME_LIMIT_MS = 2_000;
  private static final String GROUP = "ledger";
  private static final int SLOTS = 4;
  private static final int QUEUE = 64;
  private static final long ONE_WAY_MS = 1;
  private static final long CONNECT_MS = 12;
  private static final double MEAN_WORK_MS = 18;
  private static final double LOG_NORMAL_SIGMA = 0.7;
  private static final int SLOW_FACTOR = 8;

  final FakeTime time = new FakeTime();
  final Map<String, Server> servers = new HashMap<>();
  final List<GroupRouter> hosts = new ArrayList<>();
  final List<String> events = new ArrayList<>();
  final Map<AnswerCode, Integer> outcomes = new EnumMap<>(AnswerCode.class);
  int offered;
  int inTime;
  int attempts;
  long totalMillis;

  /** Statements whose connection was closed before the database had finished them. */
  int brokenOff;

  private final SplittableRandom random = new SplittableRandom(5);
  private final SessionContext context;

  FailingDatabases(int hostCount) {
    this(hostCount, null);
  }

  /** Creates hosts in the failure domains a, b and c by turns. */
  FailingDatabases(int hostCount, @Nullable Regions regions) {
    for (String id : List.of("p", "r1", "r2")) {
      servers.put(id, new Server());
    }
    for (int host = 0; host < hostCount; host++) {
      hosts.add(host(host, regions));
    }
    RouteTable routes = new RouteTable(1, Map.of(), Map.of(), 3_000);
    context =
        new SessionContext(
            () -> routes,
            group -> null,
            time,
            time,
            (request, route, pool, attempted, answer) ->
                attempts += route.kind() == RouteKind.BOUNDED ? attempted : 0);
  }

  private GroupRouter host(int number, @Nullable Regions regions) {
    Confirmation confirmation = new Confirmation(time);
    PrimaryAuthority authority = new PrimaryAuthority(confirmation);
    renewRegularly(confirmation);
    String domain = List.of("a", "b", "c").get(number % 3);
    GroupRouter router =
        new GroupRouter(
            GROUP,
            domain,
            authority,
            this::open,
            SlotPermits.NONE,
            time,
            time,
            regions == null ? null : new RegionalReads(regions, domain, number),
            (event, subject, detail) ->
                events.add(
                    time.steadyNanos() / 1_000_000 + " " + event + " " + subject + ": " + detail));
    router.databases(
        List.of(
            SessionFixture.entry("p", "b", true),
            SessionFixture.entry("r1", "a", false),
            SessionFixture.entry("r2", "c", false)));
    router.share(6);
    authority.update(PrimaryRecord.leading(GROUP, "p", 1, 1, 10));
    return router;
  }

  private void renewRegularly(Confirmation confirmation) {
    confirmation.renewed(confirmation.now());
    time.after(1_000, () -> renewRegularly(confirmation));
  }

  /** Makes a database fail a share of its statements. */
  void fail(String database, double share, Fault fault) {
    servers.get(database).share = share;
    servers.get(database).fault = fault;
  }

  /** Takes a database down or up; its connections are lost when it goes down. */
  void down(String database, boolean down) {
    servers.get(database).down(down);
  }

  long ejections() {
    return hosts.stream().mapToLong(host -> host.outliers().ejections()).sum();
  }

  /** Returns the number of databases that a host avoids, over all hosts. */
  int ejectedNow() {
    return hosts.stream().mapToInt(host -> host.outliers().ejectedNow()).sum();
  }

  double shareInTime() {
    return (double) inTime / offered;
  }

  double meanMillis() {
    return (double) totalMillis / offered;
  }

  void resetCounts() {
    outcomes.clear();
    offered = 0;
    inTime = 0;
    attempts = 0;
    totalMillis = 0;
    brokenOff = 0;
    servers.values().forEach(server -> server.received = 0);
  }

  /** Applies reads that may be stale, at random times; the rate is per second and host. */
  void applyLoad(long millis, double rate) {
    for (long milli = 0; milli < millis; milli++) {
      for (GroupRouter host : hosts) {
        if (time.steadyNanos() / 1_000_000 % 500 == 0) {
          // Reads of the primary show the positions that reads of replicas need.
          read(host, RouteKind.PRIMARY, answer -> {});
        }
        if (random.nextDouble() < rate / 1_000) {
          countedRead(host);
        }
      }
      time.advance(1);
    }
  }

  private void countedRead(GroupRouter host) {
    offered++;
    long arrived = time.steadyNanos();
    read(
        host,
        RouteKind.BOUNDED,
        answer -> {
          long took = (time.steadyNanos() - arrived) / 1_000_000;
          totalMillis += took;
          inTime += answer.ok() && took <= OBJECTIVE_MS ? 1 : 0;
          outcomes.merge(answer.code(), 1, Integer::sum);
        });
  }

  static Route route(RouteKind kind) {
    return new Route("r", "r", GROUP, kind, 1_500, TIME_LIMIT_MS, OBJECTIVE_MS, 1);
  }

  private void read(GroupRouter host, RouteKind kind, Consumer<Answer> done) {
    Route route = route(kind);
    SessionRequest request =
        new SessionRequest("q", new SessionStatement.Read("READ x"), time.steadyNanos());
    new SingleStatement(context, route, host, new SessionState(), request, null, done).start();
  }

  private void open(
      DatabaseEntry database, String organisation, PhysicalConnection.OpenListener listener) {
    Server server = servers.get(database.id());
    time.after(
        2 * ONE_WAY_MS + CONNECT_MS,
        () -> {
          if (server.down) {
            listener.refused(Answer.error(AnswerCode.LOST, "refused", TransactionState.IDLE));
          } else {
            Connection connection = new Connection(server);
            server.connections.add(connection);
            listener.opened(connection, Answer.local(TransactionState.IDLE));
          }
        });
  }

  /** A database. */
  final class Server {
    final List<Connection> connections = new ArrayList<>();
    int received;
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    private double share;
    private Fault fault = Fault.ERROR;
    private boolean down;
    private int busy;

    private void down(boolean now) {
      down = now;
      if (now) {
        List.copyOf(connections).forEach(Connection::close);
      }
    }

    private void offer(Connection from) {
      @Nullable Fault now = random.nextDouble() < share ? fault : null;
      if (now == Fault.HANG) {
        return;
      }
      if (now == Fault.REFUSE || queue.size() >= QUEUE) {
        from.answer(Answer.error(AnswerCode.BUSY, "full", TransactionState.IDLE));
        return;
      }
      double factor = Math.exp(LOG_NORMAL_SIGMA * (random.nextGaussian() - LOG_NORMAL_SIGMA / 2));
      long millis = Math.max(1, Math.round(MEAN_WORK_MS * factor));
      queue.add(
          () ->
              time.after(
                  now == Fault.SLOW ? SLOW_FACTOR * millis : millis,
                  () -> {
                    busy--;
                    finish(from, now);
                    serve();
                  }));
      serve();
    }

    private void serve() {
      if (busy < SLOTS && !queue.isEmpty()) {
        busy++;
        queue.poll().run();
      }
    }

    private void finish(Connection from, @Nullable Fault now) {
      brokenOff += from.closed ? 1 : 0;
      if (now == Fault.CLOSE) {
        from.close();
      } else if (now == Fault.ERROR) {
        from.answer(Answer.error(AnswerCode.FAILED, "broken", TransactionState.IDLE));
      } else {
        from.answer(success());
      }
    }
  }

  private static Answer success() {
    return new Answer(
        AnswerCode.OK, List.of("row"), "s", TransactionState.IDLE, new Position(1, 100));
  }

  /** A connection to one of the databases. */
  final class Connection implements PhysicalConnection {
    private final Server server;
    private @Nullable Consumer<Answer> waiting;
    private boolean closed;

    Connection(Server server) {
      this.server = server;
    }

    @Override
    public void run(DatabaseCommand command, Consumer<Answer> done) {
      if (closed) {
        done.accept(Answer.error(AnswerCode.LOST, "closed", TransactionState.IDLE));
        return;
      }
      waiting = done;
      if (command instanceof DatabaseCommand.Forward) {
        server.received++;
        time.after(ONE_WAY_MS, () -> server.offer(this));
      } else {
        time.after(ONE_WAY_MS, () -> answer(success()));
      }
    }

    private void answer(Answer answer) {
      time.after(ONE_WAY_MS, () -> end(answer));
    }

    private void end(Answer answer) {
      @Nullable Consumer<Answer> done = waiting;
      waiting = null;
      if (done != null) {
        done.accept(answer);
      }
    }

    @Override
    public boolean usable() {
      return !closed;
    }

    @Override
    public void close() {
      closed = true;
      server.connections.remove(this);
      end(Answer.error(AnswerCode.LOST, "closed", TransactionState.IDLE));
    }
  }
}
