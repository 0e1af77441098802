package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenspar.core.process.FleetModelPromotions.Delivery;

/**
 * Guards against writes acknowledged at the primary while a call to promote another database, whose
 * sender got no answer, is executed late.
 */
class LatePromotionTest {
  private static final Delivery PROMPT = new Delivery(5, true);
  private static final Delivery PROMPT_WITHOUT_ANSWER = new Delivery(5, false);
  private static final int START_MS = 5_000;

  private final FleetModel model =
      new FleetModel(
          new SplittableRandom(1),
          FleetModel.InjectedDefect.NONE,
          FleetFaults.MembershipFaults.NONE,
          false,
          false);
  private final Deque<Delivery> deliveries = new ArrayDeque<>();

  @BeforeEach
  void startFleet() {
    model.promotionCalls.deliveries = () -> deliveries.isEmpty() ? PROMPT : deliveries.poll();
    model.startHosts();
    model.time.advance(START_MS);
  }

  private void drain(String database) {
    model.databases.get(database).draining = true;
  }

  private Stream<String> events(String event) {
    return model.trace.stream().filter(line -> line.contains(" " + event + " "));
  }

  private long published() {
    return events("primary_changed").count();
  }

  private void awaitPublications(int number, long limitMillis) {
    long end = model.now() + limitMillis;
    while (published() < number && model.now() < end) {
      model.time.advance(20);
    }
    assertEquals(number, published(), this::trace);
  }

  private String trace() {
    return String.join("\n", model.trace);
  }

  private void assertOnePrimary() {
    List<String> found = model.violations.stream().distinct().toList();
    assertEquals(List.of(), found, () -> model.violations.size() + " violations\n" + trace());
  }

  @Nested
  class RepeatedCall {

    @ParameterizedTest
    @ValueSource(ints = {5_000, 7_000})
    void firstCallExecutedAfterTheNextChange(int delayMillis) {
      deliveries.add(new Delivery(delayMillis, false));
      drain("db0");
      awaitPublications(1, 6_000);
      model.time.advance(500);
      drain("db1");
      model.time.advance(20_000);
      assertOnePrimary();
      assertEquals("db2", model.newestPrimary, LatePromotionTest.this::trace);
      assertTrue(model.commits > 0);
    }

    @Test
    void isNotMadeWhileTheDatabaseIsAboutToLead() {
      deliveries.add(PROMPT_WITHOUT_ANSWER);
      drain("db0");
      awaitPublications(1, 6_000);
      assertEquals(1, events("promotion_called").count(), LatePromotionTest.this::trace);
    }
  }

  private void stopHolder() {
    String holder = events("promotion_called").findFirst().orElseThrow().split(" ", 3)[1];
    model.hosts.stream()
        .filter(host -> host.name.equals(holder))
        .forEach(host -> host.coordinator.stop());
  }

  @Nested
  class NextChange {

    @Test
    void ofAnotherHolderFollowsAPublishedRepetition() {
      deliveries.add(new Delivery(7_000, false));
      drain("db0");
      awaitPublications(1, 6_000);
      stopHolder();
      drain("db1");
      model.time.advance(20_000);
      assertOnePrimary();
      assertEquals("db2", model.newestPrimary, LatePromotionTest.this::trace);
    }

    @Test
    void doesNotWaitForASingleCallThatTookEffect() {
      deliveries.add(PROMPT_WITHOUT_ANSWER);
      drain("db0");
      awaitPublications(1, 6_000);
      drain("db1");
      awaitPublications(2, 3_000);
      assertOnePrimary();
    }

    @Test
    void doesNotWaitForCallsThatAreTooOldToTakeEffect() {
      deliveries.add(new Delivery(60_000, false));
      drain("db0");
      awaitPublications(1, 6_000);
      model.time.advance(PromotionCalls.LATE_CALL_MS);
      drain("db1");
      awaitPublications(2, 3_000);
    }
  }

  @Nested
  class InterruptedChange {

    @ParameterizedTest
    @ValueSource(ints = {5_000, 7_000, 9_000})
    void nextHolderChoosesAnotherDatabase(int delayMillis) {
      deliveries.add(new Delivery(delayMillis, false));
      drain("db0");
      while (events("promotion_called").findAny().isEmpty()) {
        model.time.advance(20);
      }
      drain("db1");
      stopHolder();
      model.time.advance(25_000);
      assertOnePrimary();
      assertEquals("db2", model.newestPrimary, LatePromotionTest.this::trace);
    }
  }

  /** How a holder of the failover lease fails. */
  private enum HolderFailure {
    CUT_OFF(5_500),
    PAUSED(9_500),
    KILLED(9_500);

    /**
     * How long each holder has the lease. Shorter than the wait for late calls. If the holder
     * before it doesn't answer, longer than the expiry of that one's confirmation.
     */
    private final long tenureMillis;

    HolderFailure(long tenureMillis) {
      this.tenureMillis = tenureMillis;
    }

    private void apply(FleetModel model, FleetModel.ModelHost host) {
      switch (this) {
        case CUT_OFF -> model.store.refuse(host.name, 12_000);
        case PAUSED -> host.freeze(6_000, true);
        default -> host.freeze(2 * FleetModel.HISTORY_MS, false);
      }
    }
  }

  /**
   * Guards against a group without a primary while holders of the failover lease that have called
   * for no database fail one after the other, each before its own wait for earlier calls is over.
   */
  @Nested
  class HoldersThatFailInTurn {

    @ParameterizedTest
    @EnumSource(HolderFailure.class)
    void promoteAnotherDatabaseOnceTheCallIsTooOld(HolderFailure failure) {
      model.time.advance(Confirmation.MAX_WITHOUT_STORE_MS);
      deliveries.add(new Delivery(9_600, false));
      drain("db0");
      while (events("promotion_called").findAny().isEmpty()) {
        model.time.advance(20);
      }
      model.hosts.forEach(host -> host.unreachable.put("db1", Long.MAX_VALUE));
      failHolder(failure);
      // A killed host does not come back, so the fourth one is the last holder.
      for (int holder = 2; holder <= 4 && published() == 0; holder++) {
        model.time.advance(failure.tenureMillis);
        failHolder(failure);
      }
      assertEquals(1, published(), LatePromotionTest.this::trace);
      assertOnePrimary();
      assertEquals("db2", model.newestPrimary, LatePromotionTest.this::trace);
    }

    @Test
    void lastCallThatTheLeaseAllowsIsWaitedFor() {
      model.time.advance(Confirmation.MAX_WITHOUT_STORE_MS + 500);
      deliveries.add(new Delivery(60_000, false));
      deliveries.add(new Delivery(9_600, false));
      drain("db0");
      while (events("promotion_called").findAny().isEmpty()) {
        model.time.advance(20);
      }
      model.hosts.forEach(host -> host.unreachable.put("db1", Long.MAX_VALUE));
      model.time.advance(1_600);
      failHolder(HolderFailure.CUT_OFF);
      long lastCall = times("promotion_called").max().orElseThrow();
      long nextHolder = times("duty_taken").max().orElseThrow();
      assertEquals(2, times("promotion_called").count(), LatePromotionTest.this::trace);
      long apart = nextHolder - lastCall;
      assertTrue(apart >= PromotionService.CALL_LIMIT_MS, LatePromotionTest.this::trace);
      assertTrue(apart < PromotionService.CALL_LIMIT_MS + 600, LatePromotionTest.this::trace);
      model.time.advance(3_500);
      failHolder(HolderFailure.CUT_OFF);
      model.time.advance(10_000);
      assertOnePrimary();
      assertEquals("db2", model.newestPrimary, LatePromotionTest.this::trace);
      long nextCall = times("promotion_called").skip(2).findFirst().orElseThrow();
      assertTrue(nextCall >= lastCall + PromotionCalls.LATE_CALL_MS, LatePromotionTest.this::trace);
      assertTrue(
          nextCall < nextHolder + PromotionCalls.LATE_CALL_MS + 900, LatePromotionTest.this::trace);
    }

    private LongStream times(String event) {
      return events(event).mapToLong(line -> Long.parseLong(line.split(" ", 2)[0]));
    }

    private boolean heldByAnother(FleetModel.ModelHost failed) {
      return model.hosts.stream().anyMatch(host -> host != failed && host.coordinator.holdsLease());
    }

    /** Lets the holder of the failover lease fail and waits for the next one. */
    private void failHolder(HolderFailure failure) {
      FleetModel.ModelHost holder =
          model.hosts.stream()
              .filter(host -> host.coordinator.holdsLease())
              .findAny()
              .orElseThrow(() -> new AssertionError(trace()));
      failure.apply(model, holder);
      long end = model.now() + 10_000;
      while (!heldByAnother(holder) && model.now() < end) {
        model.time.advance(20);
      }
    }
  }
}
