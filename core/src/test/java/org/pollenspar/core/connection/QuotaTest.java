package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenspar.core.process.ClockReading;
import org.pollenspar.core.process.FakeTime;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.version.Organisation.RateLimit;

/** Guards against limits that fail with a host or with the network, and against lost grants. */
class QuotaTest {
  private static final int RATE = 100;

  @Nested
  class Fleet {
    private final QuotaSimulation fleet = new QuotaSimulation(7, 5, new RateLimit(RATE, 50));
    private final String first = fleet.coordinators().first().name();
    private final String second = fleet.coordinators().second().name();

    private int grantsIn(long millis, int demand) {
      fleet.resetCounts();
      fleet.load(demand, millis);
      return fleet.grants.size();
    }

    private void assertBetween(int from, int to, int value) {
      assertTrue(value >= from && value <= to, value + " is not within " + from + " to " + to);
    }

    /** Returns a host that isn't a coordinator. */
    private String outsider() {
      return fleet.hosts.keySet().stream()
          .filter(name -> !name.equals(first) && !name.equals(second))
          .findFirst()
          .orElseThrow();
    }

    /** Guards against a successor that doubles the rate, or that grants nothing. */
    @Test
    void theSecondCoordinatorGrantsHalfAfterTheFirstCrashed() {
      fleet.load(3 * RATE, 5_000);
      fleet.crash(first);
      fleet.load(3 * RATE, 1_600);
      assertBetween(45, 55, grantsIn(1_000, 3 * RATE));
      assertNull(fleet.violation());
    }

    /** Guards against two coordinators that both use the whole rate, or neither of them any. */
    @Test
    void bothSidesOfAPartitionShareTheRate() {
      fleet.load(3 * RATE, 5_000);
      Set<String> side = Set.of(first);
      fleet.hosts.keySet().stream()
          .filter(name -> !side.contains(name))
          .forEach(name -> fleet.cut(first, name));
      // Long enough to use up the tokens that the first gathered before it noticed the cut.
      fleet.load(6 * RATE, 3_000);
      int total = grantsIn(1_000, 6 * RATE);
      assertBetween(90, 120, total);
      assertBetween(45, 55, fleet.grantsByHost.get(first));
    }

    /** Guards against hosts that grant without a bound, or wait, while no coordinator answers. */
    @Test
    void withoutAnyCoordinatorHostsGrantTheExcessOnly() {
      fleet.load(RATE, 2_000);
      fleet.crash(first);
      fleet.crash(second);
      int total = grantsIn(2_000, 5 * RATE);
      assertBetween(0, (int) (0.1 * RATE * 2) + 5, total);
      assertTrue(!fleet.refusals.isEmpty(), "nothing was refused");
    }

    /** Guards against half of the burst being lost once heartbeats have paused. */
    @Test
    void anIdleOrganisationMayUseItsWholeBurst() {
      fleet.load(RATE / 2, 1_000);
      fleet.time.advance(120_000);
      fleet.hosts.get(second).operation();
      fleet.time.advance(400);
      fleet.resetCounts();
      for (int i = 0; i < 40; i++) {
        fleet.hosts.get(second).operation();
      }
      fleet.time.advance(100);
      assertEquals(List.of(), fleet.refusals);
    }

    /** Guards against a successor that grants the burst which its predecessor has granted. */
    @Test
    void aSuccessorStartsEmpty() {
      fleet.time.advance(5_000);
      fleet.load(10 * RATE, 500);
      fleet.leave(first);
      assertBetween(0, RATE / 2 + 5, grantsIn(500, 10 * RATE));
      assertNull(fleet.violation());
    }

    /** Returns a host whose start replaces one coordinator and leaves the other in its place. */
    private String successor(boolean ofFirst) {
      for (int i = 100; ; i++) {
        String name = "h" + i;
        List<Member> members = new ArrayList<>();
        fleet.hosts.keySet().forEach(each -> members.add(QuotaSimulation.member(each)));
        members.add(QuotaSimulation.member(name));
        QuotaSelection.Coordinators chosen =
            new QuotaSelection(() -> members).of(QuotaSimulation.ORGANISATION);
        String newFirst = chosen.first().name();
        String newSecond = chosen.second().name();
        if (newFirst.equals(ofFirst ? name : first) && newSecond.equals(ofFirst ? second : name)) {
          return name;
        }
      }
    }

    /** Guards against a second that is cut off, replaced, and grants beside the whole rate. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aCoordinatorThatIsCutOffAndReplacedSharesTheRate(boolean ofFirst) {
      String replaced = ofFirst ? first : second;
      fleet.load(3 * RATE, 5_000);
      String beside = outsider();
      fleet.hosts.keySet().stream()
          .filter(name -> !name.equals(replaced) && !name.equals(beside))
          .forEach(name -> fleet.cut(replaced, name));
      fleet.withoutStore.add(replaced);
      String successor = successor(ofFirst);
      fleet.start(successor);
      fleet.cut(replaced, successor);
      fleet.time.advance(200);
      fleet.load(8 * RATE, 4_000);
      assertTrue(fleet.grantsByHost.containsKey(replaced), "the replaced one grants nothing");
      assertNull(fleet.violation());
    }

    /** Guards against a replacement of a healthy coordinator that costs half of the rate. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aReplacementOfACoordinatorThatAnswersCostsLittle(boolean ofFirst) {
      fleet.load(3 * RATE, 5_000);
      fleet.start(successor(ofFirst));
      fleet.load(3 * RATE, 1_000);
      // The bucket is filled at 110 per second, of which half would be 55.
      assertBetween(100, 120, grantsIn(1_000, 3 * RATE));
      fleet.load(3 * RATE, 4_000);
      assertNull(fleet.violation());
    }

    /** Guards against refusals for longer than the coordinators need to hear each other. */
    @Test
    void afterARestartOfAllHostsTheyGrantSoon() {
      fleet.load(RATE, 5_000);
      List<String> names = List.copyOf(fleet.hosts.keySet());
      names.forEach(fleet::crash);
      fleet.time.advance(1_000);
      names.forEach(fleet::start);
      // Until the members and the configuration have arrived.
      fleet.time.advance(110);
      assertBetween(5, 20, grantsIn(100, 3 * RATE));
    }

    /** Guards against figures that wait for a new coordinator or a full bucket. */
    @Test
    void changedFiguresApplyAtOnce() {
      fleet.load(3 * RATE, 5_000);
      fleet.limit(new RateLimit(10, 5));
      fleet.time.advance(150);
      assertBetween(5, 30, grantsIn(1_000, 3 * RATE));
      fleet.limit(new RateLimit(200, 5));
      fleet.time.advance(150);
      assertBetween(180, 230, grantsIn(1_000, 6 * RATE));
    }

    /** Guards against a request that fails although only its sender's list is out of date. */
    @Test
    void aHostOutsideTheCoordinatorsPassesARequestOnOnce() {
      fleet.time.advance(2_000);
      String other = outsider();
      List<QuotaDecision> decisions = new ArrayList<>();
      RateLimit limit = new RateLimit(RATE, 50);
      QuotaRequest request = new QuotaRequest(QuotaSimulation.ORGANISATION, limit, 0, false);
      fleet.hosts.get(other).coordinators.ask(request, decisions::add);
      fleet.hosts.get(other).coordinators.ask(request.asRelayed(), decisions::add);
      fleet.time.advance(50);
      assertEquals(List.of(QuotaDecision.DECLINED, QuotaDecision.GRANTED), decisions);
    }

    /** Guards against a host that was removed from the members and goes on granting. */
    @Test
    void aHostWithoutConfirmationDeclines() {
      fleet.withoutStore.add(first);
      fleet.time.advance(6_500);
      List<QuotaDecision> decisions = new ArrayList<>();
      RateLimit limit = new RateLimit(RATE, 50);
      QuotaRequest request = new QuotaRequest(QuotaSimulation.ORGANISATION, limit, 0, false);
      fleet.hosts.get(first).coordinators.ask(request, decisions::add);
      assertEquals(List.of(QuotaDecision.DECLINED), decisions);
    }

    /** Guards against asking a coordinator first that has just not answered. */
    @Test
    void aSilentCoordinatorIsAskedSecondForATime() {
      fleet.time.advance(2_000);
      String other = outsider();
      fleet.cut(other, first);
      fleet.resetCounts();
      fleet.hosts.get(other).operation();
      fleet.time.advance(149);
      assertEquals(0, fleet.grants.size() + fleet.refusals.size());
      fleet.time.advance(40);
      fleet.hosts.get(other).operation();
      fleet.time.advance(40);
      // The second passes the requests on to the first, which it reaches.
      assertEquals(0, fleet.refusals.size());
    }
  }

  /** Guards against the whole rate beside a host that only a second that has left knew of. */
  @Test
  void whatAReplacedSecondKnewOfAThirdIsKept() {
    FakeTime time = new FakeTime();
    QuotaCoordinator first =
        new QuotaCoordinator(
            "acme", new RateLimit(RATE, 50), 1, time, (event, subject, detail) -> {});
    first.assign(QuotaCoordinator.Role.FIRST, "b", 0, member -> true);
    first.acknowledged("b", ClockReading.now(time), new QuotaAcknowledgement(true, false, 1));
    assertEquals(QuotaCoordinator.Mode.HALF, first.asked());
    first.assign(QuotaCoordinator.Role.FIRST, "c", 0, member -> !member.equals("b"));
    first.acknowledged("c", ClockReading.now(time), new QuotaAcknowledgement(true, true, 1));
    assertEquals(QuotaCoordinator.Mode.HALF, first.asked());
    time.advance(6_500);
    first.acknowledged("c", ClockReading.now(time), new QuotaAcknowledgement(true, true, 1));
    assertEquals(QuotaCoordinator.Mode.FULL, first.asked());
  }

  @Nested
  class Bucket {
    private static final long SECOND = 1_000_000_000;

    @Test
    void startsEmptyAndFillsUpToItsCapacity() {
      TokenBucket bucket = new TokenBucket(10, 5, 0);
      assertFalse(bucket.take(0));
      assertEquals(100, bucket.millisUntil(1, 0));
      assertEquals(5, bucket.tokens(10 * SECOND));
    }

    /** Guards against a lowered limit whose old tokens are still granted. */
    @Test
    void aLoweredLimitDropsTokens() {
      TokenBucket bucket = new TokenBucket(10, 5, 0);
      bucket.limit(1, 2, SECOND);
      assertEquals(2, bucket.tokens(SECOND));
      assertEquals(1_000, bucket.millisUntil(3, SECOND));
    }

    /** Guards against a time that can't be represented for a rate of 0. */
    @Test
    void aRateOfZeroStatesABoundedTime() {
      assertEquals(10_000, new TokenBucket(0, 0, 0).millisUntil(1, SECOND));
    }
  }
}
