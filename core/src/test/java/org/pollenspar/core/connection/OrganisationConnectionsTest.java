package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.FakeTime;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.version.RouteTable;

/**
 * Guards against statements on a connection of another organisation, organisations that get no
 * connection while others use all of them, requests that are never answered, and a host that
 * exceeds its share.
 */
class OrganisationConnectionsTest {
  /** Number of random histories; {@code -Dpollenspar.histories} changes it. */
  private static final int HISTORIES = Integer.getInteger("pollenspar.histories", 300);

  private static final long SEED = Long.getLong("pollenspar.seed", 20_261_206L);
  private static final List<String> ORGANISATIONS =
      List.of(RouteTable.NO_ORGANISATION, "ada", "bea", "cleo", "dora", "eva");

  private FakeTime time = new FakeTime();
  private ScriptedDatabases databases = new ScriptedDatabases(time, 5);
  private ConnectionPool pool = newPool();
  private int opening;
  private final List<Request> requests = new ArrayList<>();

  private ConnectionPool newPool() {
    return new ConnectionPool(
        SessionFixture.entry("p", "a", true), this::open, SlotPermits.NONE, time, time);
  }

  private void open(
      DatabaseEntry database, String organisation, PhysicalConnection.OpenListener listener) {
    opening++;
    databases.open(
        database,
        organisation,
        new PhysicalConnection.OpenListener() {
          @Override
          public void opened(PhysicalConnection connection, Answer greeting) {
            opening--;
            listener.opened(connection, greeting);
          }

          @Override
          public void refused(Answer reason) {
            opening--;
            listener.refused(reason);
          }
        });
  }

  /** A request that runs one command on its connection and holds it until it is released. */
  private final class Request implements ConnectionRequest {
    final SessionState state = new SessionState();
    final int priority;
    PooledDatabaseConnection connection;
    int outcomes;
    boolean refused;
    boolean withdrawn;
    boolean released;

    Request(String organisation, int priority) {
      state.organisation(organisation);
      this.priority = priority;
    }

    @Override
    public int priority() {
      return priority;
    }

    @Override
    public long maxWaitNanos() {
      return 1_000_000_000;
    }

    @Override
    public SessionState sessionState() {
      return state;
    }

    @Override
    public void granted(PooledDatabaseConnection granted) {
      outcomes++;
      connection = granted;
      int sent = databases.received.size();
      granted.run(
          new DatabaseCommand.Forward("q", new SessionStatement.Read("READ x"), null, null),
          answer -> {});
      if (databases.received.size() > sent) {
        int used = databases.received.get(sent).connection();
        assertEquals(state.organisation(), databases.connections.get(used).organisation);
      }
    }

    @Override
    public void refused(AnswerCode code, String reason) {
      outcomes++;
      refused = true;
      assertEquals(AnswerCode.BUSY, code);
    }

    boolean holds() {
      return connection != null && !released;
    }

    void release() {
      released = true;
      pool.release(connection, time.steadyNanos() - 5_000_000);
    }
  }

  private Request acquire(String organisation, int priority) {
    Request request = new Request(organisation, priority);
    requests.add(request);
    pool.acquire(request);
    return request;
  }

  private List<Request> acquire(String organisation, int priority, int count) {
    List<Request> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(acquire(organisation, priority));
    }
    time.advance(10);
    return all;
  }

  /** Returns the number of connections that are open or being opened. */
  private long open() {
    return databases.connections.stream().filter(each -> !each.closed).count() + opening;
  }

  @Test
  void randomHistoriesKeepOrganisationsApartAndAnswerEveryRequest() {
    int grants = 0;
    for (int i = 0; i < HISTORIES; i++) {
      play(SEED + i);
      grants += (int) requests.stream().filter(each -> each.connection != null).count();
    }
    assertTrue(grants >= 10 * HISTORIES, "the histories grant connections: " + grants);
  }

  private void play(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    time = new FakeTime();
    databases = new ScriptedDatabases(time, 5);
    pool = newPool();
    opening = 0;
    requests.clear();
    int share = 1 + random.nextInt(6);
    long allowed = share;
    pool.share(share);
    for (int step = 0; step < 200; step++) {
      switch (random.nextInt(16)) {
        case 0 -> databases.full.add("p");
        case 1, 2 -> databases.full.clear();
        case 3 -> {
          share = 1 + random.nextInt(6);
          pool.share(share);
        }
        case 4 -> randomHolder(random).ifPresent(each -> each.connection.close());
        case 5 -> pool.closeUnused(random.nextInt(100));
        case 6, 7 -> randomWaiting(random).ifPresent(each -> each.withdrawn = pool.withdraw(each));
        case 8, 9, 10, 11 -> randomHolder(random).ifPresent(Request::release);
        default -> acquire(ORGANISATIONS.get(random.nextInt(6)), random.nextInt(4) - 1);
      }
      time.advance(random.nextInt(8));
      allowed = Math.max(share, Math.min(allowed, open()));
      assertTrue(open() <= allowed, "seed " + seed + ": " + open() + " open, share " + share);
    }
    databases.full.clear();
    for (int i = 0; i < requests.size(); i++) {
      time.advance(200);
      List.copyOf(requests).stream().filter(Request::holds).forEach(Request::release);
    }
    for (Request request : requests) {
      if (request.outcomes == 0 && request.state.organisation().isEmpty()) {
        // As in deployments without organisations, it may wait for the next event.
        assertTrue(request.withdrawn || pool.withdraw(request), "seed " + seed);
        continue;
      }
      assertEquals(request.withdrawn ? 0 : 1, request.outcomes, "seed " + seed);
    }
    assertEquals(0, pool.waiting());
  }

  private Optional<Request> randomHolder(SplittableRandom random) {
    return random(random, requests.stream().filter(Request::holds).toList());
  }

  private Optional<Request> randomWaiting(SplittableRandom random) {
    return random(
        random, requests.stream().filter(each -> each.outcomes == 0 && !each.withdrawn).toList());
  }

  private static Optional<Request> random(SplittableRandom random, List<Request> from) {
    return from.isEmpty() ? Optional.empty() : Optional.of(from.get(random.nextInt(from.size())));
  }

  @Test
  void organisationWithoutConnectionTakesTheLeastRecentlyUsedIdleOne() {
    pool.share(3);
    for (String organisation : List.of("ada", "bea", "cleo")) {
      acquire(organisation, 1);
      time.advance(10);
    }
    requests.get(1).release();
    time.advance(10);
    requests.get(0).release();
    requests.get(2).release();
    assertNotNull(acquire("dora", 1, 1).get(0).connection);
    assertEquals(3, open());
    assertTrue(databases.connections.get(1).closed);
  }

  @Test
  void organisationWithoutConnectionGetsTheNextThatBecomesFree() {
    pool.share(2);
    Request first = acquire("ada", 1, 1).get(0);
    acquire("ada", 1, 10);
    Request small = acquire("bea", 1, 1).get(0);
    first.release();
    time.advance(10);
    assertNotNull(small.connection);
    assertEquals(2, open());
  }

  /** Also guards against refusals of a small organisation for the queue of a large one. */
  @Test
  void crowdOfOneOrganisationDoesNotDelayTheOthers() {
    pool.share(4);
    acquire("ada", 1, 300);
    assertTrue(requests.stream().anyMatch(each -> each.refused));
    for (int round = 0; round < 20; round++) {
      Request small = acquire("bea", 1, 1).get(0);
      requests.stream().filter(Request::holds).findFirst().orElseThrow().release();
      time.advance(10);
      assertNotNull(small.connection, "round " + round);
      small.release();
      time.advance(10);
    }
  }

  @Test
  void equalNumbersOfConnectionsDoNotChangePlacesWithEachUse() {
    pool.share(3);
    for (int i = 0; i < 10; i++) {
      acquire("ada", 1);
      acquire("bea", 1);
    }
    time.advance(10);
    int opened = databases.connections.size();
    for (int i = 0; i < 15; i++) {
      requests.stream().filter(Request::holds).findFirst().orElseThrow().release();
      time.advance(10);
    }
    assertEquals(opened, databases.connections.size());
  }

  @Test
  void lessUrgentRequestTakesNoConnectionFromARequestOfItsOwner() {
    pool.share(1);
    Request first = acquire("ada", 0, 1).get(0);
    Request urgent = acquire("ada", 0, 1).get(0);
    Request other = acquire("bea", 1, 1).get(0);
    first.release();
    time.advance(10);
    assertNotNull(urgent.connection);
    urgent.release();
    time.advance(10);
    assertNotNull(other.connection);
  }

  @Test
  void controlCommandGetsTheNextConnectionWhateverIsQueued() {
    pool.share(2);
    Request held = acquire("", 0, 1).get(0);
    Request busy = acquire("ada", 0, 1).get(0);
    acquire("ada", 0, 5);
    List<Answer> answers = new ArrayList<>();
    ControlCommandRequest.run(pool, new DatabaseCommand.Status(), time, time, answers::add);
    busy.release();
    time.advance(20);
    assertEquals(1, answers.size());
    assertNotNull(answers.get(0));
    assertFalse(held.released);
  }

  @Test
  void atTheConnectionLimitOnlyOrganisationsWithoutAnyPlaceAreRefused() {
    pool.share(3);
    Request first = acquire("ada", 1, 1).get(0);
    databases.full.add("p");
    Request waits = acquire("bea", 1, 1).get(0);
    assertFalse(waits.refused);
    first.release();
    time.advance(10);
    assertEquals(0, open());
    assertTrue(waits.refused, "the database gave the place to another host");
    databases.full.clear();
    time.advance(300);
    assertNotNull(acquire("bea", 1, 1).get(0).connection);
  }

  @Test
  void keyOfAnotherOrganisationMovesTheNextStatementToAConnectionOfThatOne() {
    SessionFixture fixture = new SessionFixture(5);
    Set<String> used = new HashSet<>();
    fixture.organisations(Map.of("key", "ada", "other", "bea"));
    SessionFixture.Caller caller = fixture.caller("till", "key");
    for (String holder : List.of("ada", "bea", "ada", "cleo")) {
      fixture.organisations(Map.of("key", holder));
      fixture.confirmation.renewed(fixture.confirmation.now());
      assertEquals(AnswerCode.OK, caller.write("1").code());
      assertEquals(holder, fixture.organisationOfLastConnection());
      used.add(holder);
    }
    // The share is 2, so the third organisation takes the place of another.
    assertEquals(3, used.size());
    assertEquals(2, fixture.router.pool("p").connections());
    assertEquals(1, fixture.router.counts().closedToMakeRoom());
  }
}
