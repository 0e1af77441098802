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
import org.pollenspar.core.process.FakeTime;
import org.pollenspar.core.process.FleetMessages;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Regions;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;

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
      double cost = fixture.router.pool(id).expectedNanos(route.priority()) + penalties.get(id);
      if (cost < least) {
        expected = id;
        least = cost;
      }
    }
    GroupRouter.StatementTarget target = fixture.router.readTarget(route, null, Set.of(), 0);
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
    for (Member next = selection.next("g", tried);
        next != null;
        next = selection.next("g", tried)) {
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
    BrokeredAdmission admission = new BrokeredAdmission(client, time);
    admission.recordDelay(30e6);
    admission.ask(far, new WaitingRequest(1), started -> {});
    time.advance(1_990);
    admission.ask(far, new WaitingRequest(1), started -> {});
    time.advance(60);
    assertEquals(List.of("east", "east"), asked);
    assertTrue(!admission.permitNeeded(1), "the permit kept the database congested");
    assertEquals(10, client.immediateGrantMillis(near));
  }
}
