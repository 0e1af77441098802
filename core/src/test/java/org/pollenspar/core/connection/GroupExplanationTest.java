package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenspar.core.process.ClockReading;
import org.pollenspar.core.process.FakeTime;
import org.pollenspar.core.process.FleetMessages;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Regions;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;

/**
 * Guards against explanations that differ from what happens to a statement, and against questions
 * that change what happens to later statements.
 */
class GroupExplanationTest {
  private static final List<String> ROUTES = List.of("till", "own", "old");

  private static GroupExplanation ask(SessionFixture fixture, String route, boolean writes) {
    return GroupExplanation.of(
        fixture.router, fixture.routes.route(route), "", writes, new Position(1, 100));
  }

  private static GroupExplanation.Database database(GroupExplanation explanation, String id) {
    return explanation.databases().stream()
        .filter(each -> each.entry().id().equals(id))
        .findFirst()
        .orElseThrow();
  }

  /** Returns a fixture that knows a recent position, so that replicas may answer. */
  private static SessionFixture fixture() {
    SessionFixture fixture = new SessionFixture(5);
    fixture.caller("till").read("x");
    return fixture;
  }

  @Nested
  class Obstacles {
    private final SessionFixture fixture = fixture();

    @Test
    void areNamed() {
      fixture.router.pool("r1").markLagging();
      DatabaseEntry draining =
          new DatabaseEntry("r2", SessionFixture.GROUP, "10.0.0.1", 1, "c", 3, true, false, 0);
      fixture.router.pool("r2").update(draining);
      GroupExplanation read = ask(fixture, "old", false);
      assertEquals(ReadObstacle.LAGGING, database(read, "r1").obstacle());
      assertEquals(ReadObstacle.DRAINING, database(read, "r2").obstacle());
      assertNull(database(read, "p").obstacle());
      assertEquals("p", read.chosen());
      GroupExplanation write = ask(fixture, "old", true);
      assertEquals(ReadObstacle.NOT_THE_PRIMARY, database(write, "r1").obstacle());
      assertEquals("PRIMARY", write.reason());
    }

    @Test
    void ofThePrimaryAreNamed() {
      fixture.time.advance(7_000);
      GroupExplanation unconfirmed = ask(fixture, "till", true);
      assertEquals(ReadObstacle.NOT_CONFIRMED, database(unconfirmed, "p").obstacle());
      fixture.confirmation.renewed(fixture.confirmation.now());
      fixture.authority.revoke(SessionFixture.GROUP, 20);
      GroupExplanation changing = ask(fixture, "old", false);
      assertEquals(ReadObstacle.BEING_REPLACED, database(changing, "p").obstacle());
      assertEquals(ReadObstacle.NO_POSITION, database(changing, "r1").obstacle());
      assertEquals(AnswerCode.BUSY, changing.refusal().code());
    }

    @Test
    void ofAnUnreachableDatabaseIsNamed() {
      fixture.databases.unreachable.add("r1");
      fixture.caller("old").send(new SessionStatement.Read("READ x"));
      fixture.time.advance(3);
      assertEquals(ReadObstacle.UNREACHABLE, database(ask(fixture, "old", false), "r1").obstacle());
    }
  }

  /** Compares with what a caller gets from the same state right afterwards. */
  @Nested
  class Agreement {
    @ParameterizedTest
    @CsvSource({"till, false", "own, false", "old, false", "till, true", "old, true"})
    void withTheDatabaseThatRunsTheStatement(String route, boolean writes) {
      SessionFixture fixture = fixture();
      String chosen = ask(fixture, route, writes).chosen();
      SessionFixture.Caller caller = fixture.caller(route);
      assertEquals(AnswerCode.OK, (writes ? caller.write("x") : caller.read("x")).code());
      List<ScriptedDatabases.ReceivedCommand> received = fixture.databases.received;
      assertEquals(received.get(received.size() - 1).database(), chosen);
    }

    @Test
    void withTheReplicaThatAnswersWhileThePrimaryIsReplaced() {
      SessionFixture fixture = fixture();
      fixture.authority.revoke(SessionFixture.GROUP, 20);
      String chosen = ask(fixture, "own", false).chosen();
      assertEquals(AnswerCode.OK, fixture.caller("own").read("x").code());
      List<ScriptedDatabases.ReceivedCommand> received = fixture.databases.received;
      assertEquals(received.get(received.size() - 1).database(), chosen);
    }

    @ParameterizedTest
    @CsvSource({"unreachable, till, true", "overloaded, till, false", "replaced, till, false"})
    void withTheRefusal(String state, String route, boolean writes) {
      SessionFixture fixture = fixture();
      switch (state) {
        case "unreachable" -> {
          fixture.router.pools().forEach(pool -> pool.closeUnused(-1));
          fixture.databases.unreachable.add("p");
          fixture.caller("till").send(new SessionStatement.Read("READ x"));
          fixture.time.advance(3);
        }
        case "overloaded" -> {
          for (int i = 0; i < 200; i++) {
            fixture.caller("till").send(new SessionStatement.Read("READ x"));
          }
        }
        default -> fixture.authority.revoke(SessionFixture.GROUP, 20);
      }
      GroupExplanation explanation = ask(fixture, route, writes);
      SessionFixture.Caller caller = fixture.caller(route);
      caller.send(
          writes
              ? new SessionStatement.Write("WRITE x data")
              : new SessionStatement.Read("READ x"));
      Answer answer = caller.answers.get(0);
      assertNull(explanation.chosen());
      assertEquals(answer.code(), explanation.refusal().code());
      assertEquals(answer.detail(), explanation.refusal().text());
    }
  }

  @Nested
  class Questions {
    /**
     * Runs 6 s of overload by rank 1 and 2 while the primary alone can answer, which changes the
     * rates of both ranks, and returns all that the databases received and the counts.
     */
    private List<String> run(boolean asking) {
      SessionFixture fixture = fixture();
      fixture.databases.script(received -> fixture.time.steadyNanos() % 7 == 0 ? busy() : null);
      List<SessionFixture.Caller> callers = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        callers.add(fixture.caller(ROUTES.get(i % 3)));
      }
      SplittableRandom random = new SplittableRandom(3);
      for (int step = 0; step < 1_500; step++) {
        SessionFixture.Caller caller = callers.get(random.nextInt(callers.size()));
        caller.send(
            random.nextInt(4) == 0
                ? new SessionStatement.Write("WRITE x data")
                : new SessionStatement.Read("READ x"));
        if (asking) {
          ROUTES.forEach(route -> ask(fixture, route, route.equals("till")));
        }
        fixture.time.advance(4);
        fixture.confirmation.renewed(fixture.confirmation.now());
      }
      List<String> seen = new ArrayList<>(fixture.decisions);
      fixture.databases.received.forEach(
          each -> seen.add(each.database() + " " + each.connection()));
      seen.add("connections " + fixture.databases.connections.size());
      for (ConnectionPoolCounts.Refusal cause : ConnectionPoolCounts.Refusal.values()) {
        seen.add(cause + " " + fixture.router.counts().refusals(cause));
      }
      fixture.router.pools().forEach(pool -> seen.add("wait " + pool.expectedNanos(2, "")));
      return seen;
    }

    private static Answer busy() {
      return Answer.error(AnswerCode.BUSY, "full", TransactionState.IDLE);
    }

    @Test
    void changeNothingUnderOverload() {
      assertEquals(run(false), run(true));
    }

    /** Guards also against an estimate that refills the bucket before its rate changes. */
    @Test
    void changeNothingInARateLimit() {
      List<List<Object>> seen = List.of(new ArrayList<>(), new ArrayList<>());
      for (int asking = 0; asking < 2; asking++) {
        RankRateLimiter limiter = new RankRateLimiter();
        for (int millis = 0; millis < 5_000; millis += 3) {
          long now = millis * 1_000_000L;
          long took = millis > 1_000 && millis < 3_000 ? 120_000_000 : 20_000_000;
          if (millis % 12 == 0) {
            limiter.recordLatency(2, took, now);
            seen.get(asking).add(limiter.tryStart(2, now));
          }
          if (asking == 1) {
            limiter.estimatedWaitNanos(2, 3, now);
            limiter.wouldStart(2, now);
          }
        }
        seen.get(asking).add(limiter.waitNanos(2, 5, 5_000_000_000L));
      }
      assertTrue(seen.get(0).contains(false));
      assertEquals(seen.get(0), seen.get(1));
    }

    @Test
    void drawNoRandomNumberInSeveralRegions() {
      List<List<String>> choices = new ArrayList<>();
      for (boolean asking : new boolean[] {false, true}) {
        SessionFixture fixture = fixture();
        Regions regions = new Regions(Map.of("a", "west", "b", "west", "c", "east"));
        GroupRouter router =
            new GroupRouter(
                SessionFixture.GROUP,
                "d",
                fixture.authority,
                fixture.databases,
                SlotPermits.NONE,
                fixture.time,
                fixture.time,
                new RegionalReads(regions, "d", 7),
                (event, subject, detail) -> {});
        router.databases(
            List.of(
                SessionFixture.entry("p", "b", true),
                SessionFixture.entry("r1", "a", false),
                SessionFixture.entry("r2", "c", false)));
        Route route =
            new Route("old", "old", SessionFixture.GROUP, RouteKind.BOUNDED, 1_500, 1_000, 800, 2);
        router.observe(
            router.pool("p"),
            route,
            new Answer(AnswerCode.OK, List.of(), "-", TransactionState.IDLE, new Position(1, 100)),
            new ClockReading(
                fixture.time.steadyNanos() - 60_000_000, fixture.time.wallMillis() - 60),
            true);
        List<String> drawn = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
          if (asking) {
            GroupExplanation asked = GroupExplanation.of(router, route, "", false, null);
            double parts =
                asked.databases().stream().mapToDouble(GroupExplanation.Database::part).sum();
            assertEquals(1, parts, 1e-9);
          }
          drawn.add(router.readTarget(route, "", null, Set.of(), 800_000_000).pool().entry().id());
        }
        assertTrue(Set.copyOf(drawn).size() > 1, drawn.toString());
        choices.add(drawn);
      }
      assertEquals(choices.get(0), choices.get(1));
    }
  }

  @ParameterizedTest
  @CsvSource({
    "d1+16 r11+2, 200",
    "d1+20 r11+2 r9+9, 200",
    "o60+10 o60+11 o60+40, 200",
    "d1+220 o60+190, 200"
  })
  void partsAreThoseOfTheDraws(String text, double remaining) {
    List<ReadPlacement.Candidate<String>> candidates = new ArrayList<>();
    for (String each : text.split(" ", -1)) {
      String[] times = each.substring(1).split("\\+", -1);
      Regions.Distance distance =
          switch (each.charAt(0)) {
            case 'd' -> Regions.Distance.SAME_DOMAIN;
            case 'r' -> Regions.Distance.SAME_REGION;
            default -> Regions.Distance.OTHER_REGION;
          };
      candidates.add(
          new ReadPlacement.Candidate<>(
              each,
              distance,
              Double.parseDouble(times[0]) * 1e6,
              Double.parseDouble(times[1]) * 1e6,
              0));
    }
    ReadPlacement placement = new ReadPlacement(new SplittableRandom(5));
    Map<ReadPlacement.Choice<String>, Double> drawn =
        new TreeMap<>((a, b) -> a.toString().compareTo(b.toString()));
    for (int i = 0; i < 10_000; i++) {
      drawn.merge(placement.choose(candidates, remaining * 1e6), 1e-4, Double::sum);
    }
    List<ReadPlacement.Share<String>> shares = placement.shares(candidates, remaining * 1e6);
    assertEquals(drawn.size(), shares.size());
    shares.forEach(share -> assertEquals(drawn.get(share.choice()), share.part(), 0.02));
  }

  @Nested
  class Homes {
    private final FakeTime time = new FakeTime();
    private final Member self = member("self", "a");
    private final Member near = member("near", "a");
    private final Member far = member("far", "b");
    private final HomeSelection selection =
        new HomeSelection(
            self,
            (FleetMessages)
                Proxy.newProxyInstance(
                    FleetMessages.class.getClassLoader(),
                    new Class<?>[] {FleetMessages.class},
                    (proxy, method, arguments) -> null),
            time,
            time);

    private static Member member(String name, String domain) {
      return new Member(name, name + ":1", "1", domain, 1_000, false);
    }

    private void assertChosen(Member member, HomeSelection.Reason reason, String organisation) {
      HomeSelection.Choice choice = selection.explain("g", organisation, false);
      assertEquals(member, choice.chosen());
      assertEquals(reason, choice.reason());
    }

    @Test
    void areChosenAsForStatements() {
      selection.assign(
          "g",
          new HomeAssignment(List.of(far, near), 3),
          new OrganisationHomes(Map.of("acme", List.of(far, self, near))));
      assertChosen(near, HomeSelection.Reason.OWN_DOMAIN, "");
      assertChosen(far, HomeSelection.Reason.FIRST_OF_ORGANISATION, "acme");
      selection.record("g", near, ForwardOutcome.Kind.DECLINED);
      assertChosen(far, HomeSelection.Reason.FAILING_AVOIDED, "");
      selection.record("g", far, ForwardOutcome.Kind.LOST);
      assertChosen(near, HomeSelection.Reason.ALL_AVOIDED, "");
      assertChosen(self, HomeSelection.Reason.THIS_HOST, "acme");
      assertEquals(
          List.of(HomeSelection.Obstacle.TAKES_NO_WORK, HomeSelection.Obstacle.SILENT),
          selection.explain("g", "", false).homes().stream()
              .map(HomeSelection.Home::obstacle)
              .toList());
    }

    @Test
    void areThisHostIfItIsOneOrNoneIfNoneIsKnown() {
      assertTrue(selection.explain("g", "", true).here());
      assertNull(selection.explain("g", "", false).chosen());
    }
  }
}
