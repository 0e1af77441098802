package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenspar.core.process.Confirmation;
import org.pollenspar.core.process.FakeTime;
import org.pollenspar.core.process.FleetMessages;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.PrimaryAuthority;
import org.pollenspar.core.process.PrimaryRecord;
import org.pollenspar.core.process.Regions;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;
import org.pollenspar.core.version.RouteTable;

/**
 * Guards against decisions that change without regions, and against homes and brokers in a region
 * that isn't the nearest.
 */
class RegionsTest {
  private static final Regions REGIONS =
      Regions.of("a", "west", Map.of("b", "west", "c", "east", "d", "east"));

  private static Member member(String name, String domain) {
    return new Member(name, name, "1", domain, 1_000, false);
  }

  @ParameterizedTest
  @CsvSource({
    "a, a, SAME_DOMAIN",
    "a, b, SAME_REGION",
    "b, c, OTHER_REGION",
    "a, unknown, OTHER_REGION"
  })
  void distanceOfDomains(String domain, String other, Regions.Distance expected) {
    assertEquals(expected, REGIONS.distance(domain, other));
  }

  @Test
  void oneRegionIsAsNone() {
    Regions one = Regions.of("a", "west", Map.of("b", "west"));
    assertEquals(Regions.Distance.SAME_REGION, one.distance("a", "unknown"));
    assertNull(RegionalReads.of(one, member("self", "a"), "g"));
  }

  /** Compares the choice with the rule of the earlier deployments, written out again. */
  @Property(seed = "4", tries = 300)
  void withoutRegionsTheLeastCostWithFixedPenaltiesIsChosen(
      @ForAll @Size(3) List<@IntRange(min = 0, max = 6) Integer> queued,
      @ForAll @IntRange(min = 0, max = 2) int priority) {
    SessionFixture fixture = new SessionFixture(20);
    fixture.caller("till").read("x");
    Map<String, Double> penalties = Map.of("p", 36e6, "r1", 0.0, "r2", 6e6);
    List<String> ids = List.of("p", "r1", "r2");
    Route route = new Route("r", "r", SessionFixture.GROUP, RouteKind.BOUNDED, 1_500, 800, 150, 1);
    for (int i = 0; i < ids.size(); i++) {
      for (int n = 0; n < queued.get(i); n++) {
        fixture.router.pool(ids.get(i)).acquire(new WaitingRequest(priority));
      }
    }
    String expected = "p";
    double least = Double.MAX_VALUE;
    for (String id : ids) {
      double cost = fixture.router.pool(id).expectedNanos(route.priority(), "") + penalties.get(id);
      if (cost < least) {
        expected = id;
        least = cost;
      }
    }
    GroupRouter.StatementTarget target = fixture.router.readTarget(route, "", null, Set.of(), 0);
    assertEquals(expected, target.pool().entry().id());
    assertNull(target.placement());
  }

  /** A request that takes part in a queue and keeps the connection that it gets. */
  private record WaitingRequest(int priority) implements ConnectionRequest {
    @Override
    public long maxWaitNanos() {
      return Long.MAX_VALUE;
    }

    @Override
    public SessionState sessionState() {
      return new SessionState();
    }

    @Override
    public void granted(PooledDatabaseConnection connection) {}

    @Override
    public void refused(AnswerCode code, String reason) {}
  }

  @Test
  void homesOfTheOwnRegionComeBeforeOthers() {
    FakeTime time = new FakeTime();
    Member self = member("self", "a");
    FleetMessages messages =
        (FleetMessages)
            Proxy.newProxyInstance(
                FleetMessages.class.getClassLoader(),
                new Class<?>[] {FleetMessages.class},
                (proxy, method, arguments) -> null);
    HomeSelection selection = new HomeSelection(self, REGIONS, messages, time, time);
    List<Member> homes =
        List.of(member("1", "c"), member("2", "b"), member("3", "d"), member("4", "a"));
    selection.assign("g", new HomeAssignment(homes, 6));
    List<String> order = new ArrayList<>();
    Set<Member> tried = new HashSet<>();
    for (Member next = selection.next("g", "", tried);
        next != null;
        next = selection.next("g", "", tried)) {
      tried.add(next);
      order.add(next.domain());
    }
    assertEquals(List.of("a", "b"), order.subList(0, 2));
    assertEquals(4, order.size());
  }

  @Property(seed = "6", tries = 200)
  void eachRegionHasAHome(
      @ForAll @IntRange(min = 2, max = 4) int count,
      @ForAll @IntRange(min = 0, max = 50) int group) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      // One domain in the west and three in the east.
      members.add(member("host-" + i, List.of("a", "c", "d", "e").get(i % 4)));
    }
    Regions regions = new Regions(Map.of("a", "west", "c", "east", "d", "east", "e", "east"));
    HomeAssignment before = HomeAssignment.of("g" + group, 6 * count, 4, members);
    HomeAssignment after = RegionHomes.inEachRegion(before, "g" + group, members, regions);
    assertEquals(count, after.homes().size());
    assertEquals(before.connections(), after.connections());
    assertEquals(count, new HashSet<>(after.homes()).size());
    assertEquals(
        Set.of("west", "east"),
        Set.copyOf(after.homes().stream().map(home -> regions.region(home.domain())).toList()));
    assertSame(before, RegionHomes.inEachRegion(before, "g" + group, members, Regions.ONE));
  }

  @Test
  void aPermitOfABrokerInAnotherRegionIsNoSignOfCongestion() {
    FakeTime time = new FakeTime();
    List<Member> members = List.of(member("self", "a"), member("west", "b"), member("east", "c"));
    List<String> asked = new ArrayList<>();
    BrokerMessages messages =
        (broker, database, request) -> {
          asked.add(broker.name());
          LongConsumer release = delayMillis -> {};
          time.after(60, request::granted);
          return release;
        };
    BrokerClient client =
        new BrokerClient(
            "self", "a", REGIONS, () -> members, new SlotBrokers(time, time), messages, time, time);
    DatabaseEntry far = SessionFixture.entry("far", "d", false);
    DatabaseEntry near = SessionFixture.entry("near", "b", false);
    BrokeredAdmission admission = new BrokeredAdmission(client, new ConnectionPoolCounts(), time);
    admission.recordDelay(30e6);
    admission.ask(far, new WaitingRequest(1), started -> {});
    time.advance(1_990);
    admission.ask(far, new WaitingRequest(1), started -> {});
    time.advance(60);
    assertEquals(List.of("east", "east"), asked);
    assertTrue(!admission.permitNeeded(1), "the permit kept the database congested");
    assertEquals(10, client.immediateGrantMillis(near));
  }

  /** A replica in the own region that lags; the primary is in the other region. */
  private static final class LaggingReplica {
    final FakeTime time = new FakeTime();
    final ScriptedDatabases databases = new ScriptedDatabases(time, 5);
    final List<String> placements = new ArrayList<>();
    final List<Answer> answers = new ArrayList<>();
    final GroupRouter router;
    boolean wasAvoided;
    private final SessionContext context;

    LaggingReplica() {
      Confirmation confirmation = new Confirmation(time);
      confirmation.renewed(confirmation.now());
      PrimaryAuthority authority = new PrimaryAuthority(confirmation);
      authority.update(PrimaryRecord.leading(SessionFixture.GROUP, "p", 1, 1, 10));
      router =
          new GroupRouter(
              SessionFixture.GROUP,
              "a",
              authority,
              databases,
              SlotPermits.NONE,
              time,
              time,
              new RegionalReads(REGIONS, "a", 1),
              (event, subject, detail) -> {});
      router.databases(
          List.of(SessionFixture.entry("p", "c", true), SessionFixture.entry("r1", "a", false)));
      router.share(2);
      databases.positions.put("p", new Position(1, 100));
      databases.script(
          received ->
              received.database().equals("r1")
                  ? Answer.error(AnswerCode.LAGGING, "behind", TransactionState.IDLE)
                  : null);
      RouteTable routes = new RouteTable(1, Map.of(), Map.of(), 3_000);
      DecisionListener decisions =
          new DecisionListener() {
            @Override
            public void answered(
                SessionRequest request,
                Route route,
                ConnectionPool pool,
                int attempts,
                Answer answer) {
              answers.add(answer);
            }

            @Override
            public void placed(
                Route route, Regions.Distance distance, ReadPlacement.Reason reason) {
              placements.add(distance + " " + reason);
            }
          };
      context = new SessionContext(() -> routes, group -> null, time, time, decisions);
    }

    void read(RouteKind kind, Position lastCommit) {
      Route route = new Route("r", "r", SessionFixture.GROUP, kind, 1_500, 800, 250, 1);
      SessionRequest request =
          new SessionRequest("q", new SessionStatement.Read("READ x"), time.steadyNanos());
      new SingleStatement(
              context, route, router, new SessionState(), request, lastCommit, answer -> {})
          .start();
      for (int i = 0; i < 100; i++) {
        time.advance(1);
        wasAvoided |= router.pool("r1").lagging();
      }
    }
  }

  @ParameterizedTest
  @CsvSource({"READ_YOUR_WRITES, 120, false", "READ_YOUR_WRITES, 90, true", "BOUNDED, 120, true"})
  void aReadAtALaggingReplicaIsRetriedInTheOtherRegion(
      RouteKind kind, long lastCommit, boolean avoided) {
    LaggingReplica model = new LaggingReplica();
    model.read(RouteKind.PRIMARY, null);
    model.read(kind, new Position(1, lastCommit));
    assertEquals(
        List.of("OTHER_REGION PRIMARY", "SAME_DOMAIN NEAREST", "OTHER_REGION NONE_NEARER"),
        model.placements);
    assertTrue(model.answers.stream().allMatch(Answer::ok), model.answers.toString());
    // A replica that lacks only the session's own commit still serves other sessions.
    assertEquals(avoided, model.wasAvoided);
  }
}
