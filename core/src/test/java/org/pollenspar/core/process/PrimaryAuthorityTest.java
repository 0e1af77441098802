package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against the use of a primary whose revocation this host has acknowledged. */
class PrimaryAuthorityTest {
  private static final String GROUP = "ledger";
  private final FakeTime time = new FakeTime();
  private final Confirmation confirmation = new Confirmation(time);
  private final PrimaryAuthority authority = new PrimaryAuthority(confirmation);

  @BeforeEach
  void confirm() {
    confirmation.renewed(confirmation.now());
  }

  @Test
  void revocationOfAGroupWhoseRecordIsNotKnownYetCounts() {
    authority.revoke(GROUP, 12);
    authority.update(PrimaryRecord.leading(GROUP, "p", 1, 1, 10));
    assertNull(authority.primary(GROUP));
    authority.update(PrimaryRecord.leading(GROUP, "r", 2, 1, 14));
    assertEquals("r", authority.primary(GROUP));
  }
}
