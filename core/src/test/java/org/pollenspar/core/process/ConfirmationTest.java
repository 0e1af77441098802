package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a host that uses a primary after its confirmation has expired, because one of its
 * clocks stopped or jumped.
 */
class ConfirmationTest {
  private final FakeTime time = new FakeTime();
  private final Confirmation confirmation = new Confirmation(time);

  @Nested
  class Expiry {

    @Test
    void countsFromTheSendingOfTheRequest() {
      ClockReading sent = confirmation.now();
      time.advance(4_000);
      confirmation.renewed(sent);
      assertTrue(confirmation.holds());
      time.advance(Confirmation.VALID_MS - 4_000);
      assertFalse(confirmation.holds());
    }

    @Test
    void comesEvenIfTheSteadyClockStops() {
      confirmation.renewed(confirmation.now());
      time.stepWall(Confirmation.VALID_MS);
      assertFalse(confirmation.holds());
    }

    @Test
    void isNotDelayedByATimeOfDayThatJumpsBack() {
      confirmation.renewed(confirmation.now());
      time.stepWall(-60_000);
      assertTrue(confirmation.holds());
      time.advance(Confirmation.VALID_MS);
      assertFalse(confirmation.holds());
    }

    @Test
    void appliesBeforeTheFirstRenewalAndAfterAWithdrawal() {
      assertFalse(confirmation.holds());
      confirmation.renewed(confirmation.now());
      confirmation.withdraw();
      assertFalse(confirmation.holds());
    }
  }
}
