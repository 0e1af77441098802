package org.pollenspar.core.connection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;
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
 * Simulation of the homes of two regions: "west" with the replica "r1", and "east" with the primary
 * "p" and the replica "r2". The round trip between them is 60 ms. The databases serve in order of
 * arrival.
 */
final class TwoRegions {
  /** The regions, in the order of the loads. */
  static final List<String> NAMES = List.of("west", "east");

  private static final String GROUP = "ledger";
  private static final int SLOTS = 4;
  private static final long CONNECT_MS = 12;
  private static final double LOG_NORMAL_SIGMA = 0.7;
  private static final long MILLI = 1_000_000;
  private static final long[] WORK_MS = {6, 18, 30};
  private static final long[] TARGET_LATENCY_MS = {150, 250, 1_000};
  static final Regions REGIONS =
      new Regions(
          Map.of("a", "west", "b", "west", "c", "west", "d", "east", "e", "east", "f", "east"));

  private static final Map<String, String> DOMAINS = Map.of("r1", "a", "p", "d", "r2", "e");

  private record Work(long millis, Runnable done) {}

  /** A database that runs its work in order of arrival. */
  private final class Server {
    final ArrayDeque<Work> queue = new ArrayDeque<>();
    int busy;

    void offer(long millis, Runnable done) {
      queue.add(new Work(millis, done));
      serve();
    }

    private void serve() {
      @Nullable Work next = busy < SLOTS ? queue.poll() : null;
      if (next != null) {
        busy++;
        time.after(
            next.millis(),
            () -> {
              busy--;
              next.done().run();
              serve();
            });
      }
    }
  }

  final FakeTime time = new FakeTime();
  final Counts[] counts = {new Counts(), new Counts()};
  private final SplittableRandom random = new SplittableRandom(11);
  private final SplittableRandom workRandom = new SplittableRandom(12);
  private final Map<String, Server> servers = new HashMap<>();
  private final List<GroupRouter> homes = new ArrayList<>();
  private final SessionContext context;

  /** Creates homes in the domains a, b and c, with 6 connections to each database. */
  TwoRegions(boolean weighed) {
    List<DatabaseEntry> entries = new ArrayList<>();
    for (String id : List.of("p", "r1", "r2")) {
      servers.put(id, new Server());
      entries.add(SessionFixture.entry(id, DOMAINS.get(id), id.equals("p")));
    }
    for (String domain : List.of("a", "b", "c", "d", "e", "f")) {
      Confirmation confirmation = new Confirmation(time);
      PrimaryAuthority authority = new PrimaryAuthority(confirmation);
      confirmation.renewed(confirmation.now());
      GroupRouter home =
          new GroupRouter(
              GROUP,
              domain,
              authority,
              (database, organisation, listener) -> open(domain, database, listener),
              SlotPermits.NONE,
              time,
              time,
              weighed ? new RegionalReads(REGIONS, domain, domain.hashCode()) : null,
              (event, subject, detail) -> {});
      home.databases(entries);
      home.share(6);
      authority.update(PrimaryRecord.leading(GROUP, "p", 1, 1, 10));
      renewRegularly(confirmation);
      homes.add(home);
    }
    RouteTable routes = new RouteTable(1, Map.of(), Map.of(), 3_000);
    context =
        new SessionContext(
            () -> routes,
            group -> null,
            time,
            time,
            (request, route, pool, attempts, answer) -> {});
  }

  private void renewRegularly(Confirmation confirmation) {
    time.after(
        1_000,
        () -> {
          confirmation.renewed(confirmation.now());
          renewRegularly(confirmation);
        });
  }

  /** Counts of one region by rank, and of its reads at databases of the other region. */
  static final class Counts {
    final int[] offered = new int[WORK_MS.length];
    final int[] inTime = new int[WORK_MS.length];
    final int[] late = new int[WORK_MS.length];
    int remote;

    double shareInTime() {
      return (double) IntStream.of(inTime).sum() / IntStream.of(offered).sum();
    }

    @Override
    public String toString() {
      return String.format("%.3f ", shareInTime())
          + Arrays.toString(offered)
          + " in time "
          + Arrays.toString(inTime)
          + " late "
          + Arrays.toString(late)
          + " remote "
          + remote;
    }
  }

  /** Resets all counts. */
  void resetCounts() {
    Arrays.setAll(counts, region -> new Counts());
  }

  /** Applies a load for some time: reads per second that may be stale, by region and rank. */
  void applyLoad(int millis, double[][] reads) {
    for (int milli = 0; milli < millis; milli++) {
      if (milli % 100 == 0) {
        // Reads of the primary show the positions that reads of replicas need.
        homes.forEach(home -> read(home, RouteKind.PRIMARY, 0, answer -> {}));
      }
      for (int region = 0; region < reads.length; region++) {
        for (int rank = 0; rank < reads[region].length; rank++) {
          if (random.nextDouble() < reads[region][rank] / 1_000) {
            countedRead(region, rank);
          }
        }
      }
      time.advance(1);
    }
  }

  private void countedRead(int region, int rank) {
    Counts count = counts[region];
    count.offered[rank]++;
    long arrived = time.steadyNanos();
    GroupRouter home = homes.get(region * 3 + random.nextInt(3));
    read(
        home,
        RouteKind.BOUNDED,
        rank,
        answer -> {
          boolean timely = time.steadyNanos() - arrived <= TARGET_LATENCY_MS[rank] * MILLI;
          count.inTime[rank] += answer.ok() && timely ? 1 : 0;
          count.late[rank] += answer.ok() && !timely ? 1 : 0;
        });
  }

  private void read(GroupRouter home, RouteKind kind, int rank, Consumer<Answer> done) {
    Route route = new Route("r", "r", GROUP, kind, 3_000, 2_000, TARGET_LATENCY_MS[rank], rank);
    SessionRequest request =
        new SessionRequest(
            kind + "-" + rank, new SessionStatement.Read("READ x"), time.steadyNanos());
    new SingleStatement(context, route, home, new SessionState(), request, null, done).start();
  }

  /** Returns a log-normal work time with the rank's mean, as widely spread as in deployments. */
  private long workMillis(int rank) {
    double factor =
        Math.exp(
            LOG_NORMAL_SIGMA * workRandom.nextGaussian() - LOG_NORMAL_SIGMA * LOG_NORMAL_SIGMA / 2);
    return Math.max(1, Math.round(WORK_MS[rank] * factor));
  }

  private static long oneWayMillis(String domain, String database) {
    return REGIONS.distance(domain, DOMAINS.get(database)) == Regions.Distance.OTHER_REGION
        ? 30
        : 1;
  }

  private void open(
      String domain, DatabaseEntry database, PhysicalConnection.OpenListener listener) {
    long oneWay = oneWayMillis(domain, database.id());
    Runnable opened =
        () ->
            listener.opened(
                new Connection(domain, database.id()), Answer.local(TransactionState.IDLE));
    time.after(
        3 * oneWay,
        () -> servers.get(database.id()).offer(CONNECT_MS, () -> time.after(oneWay, opened)));
  }

  /** A connection to one of the databases. */
  private final class Connection implements PhysicalConnection {
    private final String domain;
    private final String database;

    Connection(String domain, String database) {
      this.domain = domain;
      this.database = database;
    }

    @Override
    public void run(DatabaseCommand command, Consumer<Answer> done) {
      long oneWay = oneWayMillis(domain, database);
      Answer answer =
          new Answer(
              AnswerCode.OK, List.of("row"), "s", TransactionState.IDLE, new Position(1, 100));
      Runnable respond = () -> time.after(oneWay, () -> done.accept(answer));
      if (command instanceof DatabaseCommand.Forward forward) {
        int rank = forward.id().charAt(forward.id().length() - 1) - '0';
        if (oneWay > 1 && forward.id().startsWith("BOUNDED")) {
          counts[NAMES.indexOf(REGIONS.region(domain))].remote++;
        }
        time.after(oneWay, () -> servers.get(database).offer(workMillis(rank), respond));
      } else {
        time.after(oneWay, respond);
      }
    }

    @Override
    public boolean usable() {
      return true;
    }

    @Override
    public void close() {}
  }
}
