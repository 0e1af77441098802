package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.FakeTime;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;

/**
 * Plays the load of one group of a large deployment, with all reads on its primary: 95 hosts in six
 * failure domains before a database that accepts 46 connections and runs 4 statements at once.
 * Guards against callers who are refused although the database has free slots, because the host
 * that serves them has no connection.
 */
class ManyHostsTest {
  private static final int HOSTS = 95;
  private static final int DOMAINS = 6;
  private static final int CONNECTION_LIMIT = 46;
  private static final int SLOTS = 4;
  private static final int ESTABLISHED = 36;
  private static final int SECONDS = 20;

  /** Statements a second of each rank on a usual day. */
  private static final double[] RATES = {9.7, 45.5, 9.7};

  private static final long[] WORK_MS = {6, 18, 30};
  private static final long[] TARGET_LATENCY_MS = {150, 250, 1_000};
  private static final long MILLI = 1_000_000;

  /** Counts of the statements of one rank, by outcome. */
  private static final class RankCounts {
    int offered;
    int inTime;
    int refused;

    double shareInTime() {
      return (double) inTime / offered;
    }
  }

  /** A database that serves in order of arrival and refuses connections above its limit. */
  private static final class LimitedDatabase implements PhysicalConnection.Opener {
    private static final long CONNECT_MS = 12;
    private final Timers timers;
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    private int connections;
    private int busySlots;
    int opened;
    int refusedConnections;

    LimitedDatabase(Timers timers) {
      this.timers = timers;
    }

    @Override
    public void open(
        DatabaseEntry database, String organisation, PhysicalConnection.OpenListener listener) {
      if (connections >= CONNECTION_LIMIT) {
        refusedConnections++;
        timers.after(
            1,
            () ->
                listener.refused(
                    Answer.error(AnswerCode.CONNECTION_LIMIT, "full", TransactionState.IDLE)));
        return;
      }
      connections++;
      opened++;
      work(
          CONNECT_MS, () -> listener.opened(new Connection(), Answer.local(TransactionState.IDLE)));
    }

    private void work(long millis, Runnable done) {
      queue.add(
          () ->
              timers.after(
                  millis,
                  () -> {
                    busySlots--;
                    done.run();
                    serve();
                  }));
      serve();
    }

    private void serve() {
      while (busySlots < SLOTS && !queue.isEmpty()) {
        busySlots++;
        queue.poll().run();
      }
    }

    private final class Connection implements PhysicalConnection {
      private boolean closed;

      @Override
      public void run(DatabaseCommand command, Consumer<Answer> done) {
        int rank = Integer.parseInt(((DatabaseCommand.Forward) command).id());
        work(
            WORK_MS[rank],
            () ->
                done.accept(
                    new Answer(AnswerCode.OK, List.of("row"), "s", TransactionState.IDLE, null)));
      }

      @Override
      public boolean usable() {
        return !closed;
      }

      @Override
      public void close() {
        if (!closed) {
          closed = true;
          connections--;
        }
      }
    }
  }

  private final RankCounts[] ranks = {new RankCounts(), new RankCounts(), new RankCounts()};
  private LimitedDatabase database;

  private static Map<String, Route> routes() {
    Map<String, Route> routes = new HashMap<>();
    for (int rank = 0; rank < RATES.length; rank++) {
      String name = "rank" + rank;
      routes.put(
          name,
          new Route(
              name,
              name,
              ForwardingFixture.GROUP,
              RouteKind.PRIMARY,
              0,
              1_500,
              TARGET_LATENCY_MS[rank],
              rank));
    }
    return routes;
  }

  /** Plays a load; a host alone has one connection at most. */
  private void play(boolean homes, double factor) {
    ForwardingFixture fixture =
        new ForwardingFixture(
            time -> {
              database = new LimitedDatabase(time);
              return database;
            },
            List.of(
                new DatabaseEntry(
                    "p", ForwardingFixture.GROUP, "10.0.0.1", 1, "d0", SLOTS, false, true, 0)),
            routes());
    List<ForwardingFixture.HostUnderTest> hosts = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(fixture.add("host" + i, "d" + i % DOMAINS));
    }
    fixture.assign(
        homes
            ? HomeAssignment.of(ForwardingFixture.GROUP, ESTABLISHED, SLOTS, fixture.members())
            : new HomeAssignment(List.of(), 1));
    SplittableRandom random = new SplittableRandom(5);
    for (int milli = 0; milli < SECONDS * 1_000; milli++) {
      if (milli % 1_000 == 0) {
        hosts.forEach(ForwardingFixture.HostUnderTest::confirm);
      }
      for (int rank = 0; rank < RATES.length; rank++) {
        if (random.nextDouble() < factor * RATES[rank] / 1_000) {
          arrive(fixture.time, hosts.get(random.nextInt(HOSTS)), rank);
        }
      }
      fixture.time.advance(1);
    }
    fixture.time.advance(2_000);
  }

  private void arrive(FakeTime time, ForwardingFixture.HostUnderTest host, int rank) {
    RankCounts counts = ranks[rank];
    counts.offered++;
    long arrived = time.steadyNanos();
    CallerConnection caller =
        new CallerConnection() {
          @Override
          public void answer(Answer answer) {
            long took = (time.steadyNanos() - arrived) / MILLI;
            counts.inTime += answer.ok() && took <= TARGET_LATENCY_MS[rank] ? 1 : 0;
            counts.refused += answer.code().hadNoEffect() ? 1 : 0;
          }

          @Override
          public void close() {}
        };
    new CallerSession(host.context, "rank" + rank, "", caller)
        .receive(
            new SessionRequest(String.valueOf(rank), new SessionStatement.Read("READ x"), arrived));
  }

  private String report() {
    StringBuilder text =
        new StringBuilder(
            "connections opened " + database.opened + ", refused " + database.refusedConnections);
    for (RankCounts rank : ranks) {
      text.append(
          "; offered %d, in time %.3f, refused %.3f"
              .formatted(rank.offered, rank.shareInTime(), (double) rank.refused / rank.offered));
    }
    return text.toString();
  }

  @Test
  void eachHostAloneRefusesWorkThatTheDatabaseCouldRun() {
    play(false, 1);
    System.out.println("95 hosts alone: " + report());
    assertTrue(database.refusedConnections > 0);
    assertTrue(ranks[1].refused > 0);
  }

  @Test
  void homesRefuseNothingOnAUsualDay() {
    play(true, 1);
    System.out.println("95 hosts with homes: " + report());
    for (RankCounts rank : ranks) {
      assertEquals(0, rank.refused);
      assertTrue(rank.shareInTime() >= 0.99);
    }
    assertEquals(0, database.refusedConnections);
    assertTrue(database.opened <= ESTABLISHED);
  }

  @Test
  void homesServeAllRanksInTimeAtTwoAndAHalfTimesTheLoad() {
    play(true, 2.5);
    System.out.println("95 hosts with homes, 2.5 times the load: " + report());
    assertTrue(ranks[0].shareInTime() >= 0.95);
    assertTrue(ranks[1].shareInTime() >= 0.90);
    assertTrue(ranks[2].shareInTime() >= 0.90);
    assertEquals(0, database.refusedConnections);
  }
}
