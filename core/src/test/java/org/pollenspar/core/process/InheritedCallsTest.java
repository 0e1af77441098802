package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a holder of the failover lease that waits too long or not long enough for calls of
 * earlier holders. The interrupted change has called for "r2", which has left since.
 */
class InheritedCallsTest extends PrimaryChangeScenario {
  private long callerFence;

  @BeforeEach
  void interruptAChangeThatHasCalled() {
    callerFence = failoverLeaseRevision;
    old =
        new PrimaryRecord(
            GROUP,
            "p",
            1,
            true,
            callerFence,
            "r2",
            PrimaryRecord.NO_TERM,
            callerFence,
            old.revision());
    databases.answers.remove("r2");
  }

  /** Lets a host take the failover lease, which this host sees at once. */
  private void takeLease(String holder) {
    put(ControlKeys.FAILOVER_LEASE, holder);
    reload();
    failoverLeaseRevision = table.revision(ControlKeys.FAILOVER_LEASE);
  }

  private void assertPromoted(boolean expected) {
    assertEquals(expected, steps.contains("promote r1"), steps.toString());
  }

  private void assertStoredCaller(long expected) {
    PrimaryRecord stored = storedRecord();
    assertNotNull(stored);
    assertTrue(stored.changing());
    assertEquals("r2", stored.candidate());
    assertEquals(expected, stored.callerFence());
  }

  @ParameterizedTest
  @EnumSource(names = {"NONE", "EXECUTED_AT_ONCE"})
  void areWaitedForSinceTheNextHolderWasSeen(FaultyTransactions.Fault fault) {
    takeLease("waiting");
    time.advance(5_000);
    takeLease("host");
    connection.fault = fault;
    change();
    time.advance(PromotionCalls.LATE_CALL_MS - 5_300);
    assertPromoted(false);
    assertStoredCaller(callerFence);
    time.advance(600);
    assertPromoted(true);
    assertNotNull(recordAtCall);
    assertEquals("r1", recordAtCall.candidate());
    assertEquals(failoverLeaseRevision, recordAtCall.callerFence());
  }

  @Test
  void areWaitedForLongerByAHostThatJoinedLater() {
    put(ControlKeys.FAILOVER_LEASE, "waiting");
    time.advance(5_000);
    takeLease("host");
    change();
    time.advance(PromotionCalls.LATE_CALL_MS - 300);
    assertPromoted(false);
    time.advance(600);
    assertPromoted(true);
  }

  /** An older host may have called and doesn't name itself. */
  @Test
  void ofARecordWithoutTheFieldAreWaitedForSinceTheLeaseWasTaken() {
    String stored =
        "{\"database\":\"p\",\"term\":1,\"changing\":true,\"fence\":1,\"candidate\":\"r2\"}";
    old = ControlKeys.decodePrimary(ControlKeys.primary(GROUP), stored, old.revision());
    assertEquals(stored, ControlKeys.encode(old));
    takeLease("waiting");
    time.advance(5_000);
    takeLease("host");
    change();
    time.advance(PromotionCalls.LATE_CALL_MS - 300);
    assertPromoted(false);
    assertStoredCaller(PrimaryRecord.UNKNOWN_FENCE);
    time.advance(600);
    assertPromoted(true);
  }

  /** While the host is suspended, the time of day goes on and the steady clock stands still. */
  @Test
  void areNotWaitedForLessAfterASuspension() {
    takeLease("host");
    time.stepWall(5_000);
    change();
    time.stepWall(PromotionCalls.LATE_CALL_MS);
    time.advance(PromotionCalls.LATE_CALL_MS - 300);
    assertPromoted(false);
    time.advance(600);
    assertPromoted(true);
  }

  /** Guards against a next holder that counts from an earlier caller of the same candidate. */
  @Test
  void ofTheLastCallerOfTheSameCandidateAreNamed() {
    databases.at("r2", 10);
    outcome = PromotionService.Outcome.UNKNOWN;
    takeLease("host");
    change();
    time.advance(3_000);
    PrimaryRecord stored = storedRecord();
    assertNotNull(stored);
    assertEquals("r2", stored.database(), steps.toString());
    assertNotNull(recordAtCall);
    assertEquals(failoverLeaseRevision, recordAtCall.callerFence());
    assertEquals("r2", stored.candidate());
    assertEquals(failoverLeaseRevision, stored.callerFence());
    assertEquals(stored.callerFence(), stored.revokedAt(9).changeBegun(99).callerFence());
  }

  @Test
  void fencesThatAreOldEnoughAreForgotten() {
    FleetTable own = new FleetTable(new PrimaryAuthority(new Confirmation(time)), time);
    long start = time.steadyNanos();
    long[] seconds = {0, 4, 15};
    for (int i = 0; i < seconds.length; i++) {
      time.advance(seconds[i] * 1_000 - (time.steadyNanos() - start) / 1_000_000);
      own.apply(new CoordinationStore.Item(ControlKeys.FAILOVER_LEASE, "h", 5 + i, false));
    }
    assertEquals(start + 4_000_000_000L, own.laterFenceSeenNanos(1));
    assertEquals(start + 15_000_000_000L, own.laterFenceSeenNanos(6));
    assertNull(own.laterFenceSeenNanos(7));
  }
}
