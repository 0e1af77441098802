package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against the use of a primary that a change believes to be released. */
class PrimaryAuthorityTest {
  private static final String GROUP = "ledger";

  private final FakeTime time = new FakeTime();
  private final Confirmation confirmation = new Confirmation(time);
  private final PrimaryAuthority authority = new PrimaryAuthority(confirmation);

  @BeforeEach
  void recordPrimary() {
    confirmation.renewed(confirmation.now());
    authority.update(PrimaryRecord.leading(GROUP, "p", 1, 1, 10));
  }

  /**
   * The host that replaces the primary does not reach this host. It waits until the confirmation
   * that this host had before the change has expired; this host reads the change late, and then
   * renews its confirmation.
   */
  @Test
  void renewalsAfterAChangeBeganDoNotProlongTheTimeForWritesUnderWay() {
    time.advance(Confirmation.VALID_MS - 100);
    authority.update(new PrimaryRecord(GROUP, "p", 1, true, 1, "", 11));
    assertTrue(authority.mayAcknowledgeWrite(GROUP, "p", 1));
    confirmation.renewed(confirmation.now());
    time.advance(100);
    assertTrue(confirmation.holds());
    assertFalse(authority.mayAcknowledgeWrite(GROUP, "p", 1));
  }

  @Test
  void renewalsAfterARevocationDoNotProlongTheTimeForWritesUnderWay() {
    time.advance(Confirmation.VALID_MS - 100);
    authority.revoke(GROUP, 11);
    assertTrue(authority.mayAcknowledgeWrite(GROUP, "p", 1));
    confirmation.renewed(confirmation.now());
    time.advance(100);
    assertFalse(authority.mayAcknowledgeWrite(GROUP, "p", 1));
  }

  @Test
  void revocationOfAGroupWhoseRecordIsNotKnownYetCounts() {
    authority.revoke("unknown", 12);
    authority.update(PrimaryRecord.leading("unknown", "p", 1, 1, 10));
    assertNull(authority.primary("unknown"));
    authority.update(PrimaryRecord.leading("unknown", "r", 2, 1, 14));
    assertEquals("r", authority.primary("unknown"));
  }
}
