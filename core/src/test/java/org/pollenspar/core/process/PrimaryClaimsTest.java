package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.connection.Position;

/**
 * Guards against the use of a primary that a late promotion call has replaced, and against claims
 * that keep a group without a primary although none was replaced.
 */
class PrimaryClaimsTest {
  private static final String GROUP = "ledger";

  private final FakeTime time = new FakeTime();
  private final Confirmation confirmation = new Confirmation(time);
  private final PrimaryAuthority authority = new PrimaryAuthority(confirmation);
  private final Databases databases = new Databases();
  private final List<String> events = new ArrayList<>();
  private final PrimaryClaims claims =
      new PrimaryClaims(
          authority, databases, time, (event, subject, detail) -> events.add(event + " " + detail));

  /** Databases that answer after 1 ms if a test has set their status. */
  private final class Databases implements DatabaseControl {
    final Map<String, DatabaseStatus> answers = new TreeMap<>();
    int asked;

    void answer(String database, boolean primary, long term) {
      answers.put(database, new DatabaseStatus(primary, term, new Position(term, 10)));
    }

    @Override
    public void status(String group, String database, Consumer<@Nullable DatabaseStatus> done) {
      asked++;
      time.after(1, () -> done.accept(answers.get(database)));
    }

    @Override
    public Collection<String> groups() {
      return List.of(GROUP);
    }

    @Override
    public Collection<Candidate> candidates(String group) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Collection<Candidate> lapsed(String group) {
      throw new UnsupportedOperationException();
    }

    @Override
    public int syncReplicas(String group) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void stepDown(
        String group, String database, long term, Consumer<@Nullable DatabaseStatus> done) {
      throw new UnsupportedOperationException();
    }
  }

  @BeforeEach
  void registerGroup() {
    confirmation.renewed(confirmation.now());
    authority.onRecordChanged(claims::recordChanged);
    claims.registered(GROUP, "p", true, 5);
    claims.registered(GROUP, "r1", false, 6);
    claims.registered(GROUP, "r2", false, 7);
    authority.update(PrimaryRecord.leading(GROUP, "p", 1, 1, 10));
    assertEquals("p", authority.primary(GROUP));
  }

  private void advanceConfirmed(long millis) {
    for (long elapsed = 0; elapsed < millis; elapsed += 100) {
      time.advance(100);
      confirmation.renewed(confirmation.now());
    }
  }

  @Test
  void aClaimStopsTheUseAtOnce() {
    claims.registered(GROUP, "r1", true, 20);
    assertNull(authority.primary(GROUP));
    assertFalse(authority.leads(GROUP, "p", 1));
    assertFalse(authority.mayAcknowledgeWrite(GROUP, "p", 1));
    assertEquals(
        List.of("primary_suspended p in term 1, since [r1] registered as primary"), events);
  }

  @Test
  void theUseStaysStoppedUntilTheClaimantIsPublished() {
    databases.answer("r1", true, 2);
    claims.registered(GROUP, "r1", true, 20);
    advanceConfirmed(5_000);
    assertNull(authority.primary(GROUP));
    authority.update(PrimaryRecord.leading(GROUP, "r1", 2, 2, 30));
    assertEquals("r1", authority.primary(GROUP));
    assertTrue(authority.mayAcknowledgeWrite(GROUP, "r1", 2));
    assertEquals(2, events.size(), events.toString());
  }

  @Test
  void aClaimantThatIsAReplicaEndsItsClaim() {
    databases.answer("r1", false, 1);
    claims.registered(GROUP, "r1", true, 20);
    time.advance(1);
    assertEquals("p", authority.primary(GROUP));
    assertTrue(events.get(1).startsWith("primary_resumed"), events.toString());
  }

  @Test
  void aClaimantOfNoNewerTermEndsItsClaim() {
    databases.answer("r1", true, 1);
    claims.registered(GROUP, "r1", true, 20);
    time.advance(1);
    assertEquals("p", authority.primary(GROUP));
    claims.registered(GROUP, "r1", true, 21);
    assertEquals("p", authority.primary(GROUP));
  }

  @Test
  void aClaimantWithoutAnAnswerIsAskedAgain() {
    claims.registered(GROUP, "r1", true, 20);
    advanceConfirmed(2_000);
    assertNull(authority.primary(GROUP));
    assertTrue(databases.asked > 3, "asked " + databases.asked);
    databases.answer("r1", false, 1);
    advanceConfirmed(400);
    assertEquals("p", authority.primary(GROUP));
  }

  @Test
  void aLapsedRegistrationEndsTheClaim() {
    claims.registered(GROUP, "r1", true, 20);
    time.advance(100);
    claims.databasesChanged(GROUP, List.of("p", "r2"));
    assertEquals("p", authority.primary(GROUP));
    int asked = databases.asked;
    advanceConfirmed(2_000);
    assertEquals(asked, databases.asked);
  }

  @Test
  void aRegistrationAsReplicaEndsTheClaim() {
    claims.registered(GROUP, "r1", true, 20);
    claims.registered(GROUP, "r1", false, 21);
    assertEquals("p", authority.primary(GROUP));
  }

  /** A database that a late call has promoted may lapse or crash and claim again. */
  @Test
  void aNewClaimOfTheSameDatabaseStopsTheUseAgain() {
    claims.registered(GROUP, "r1", true, 20);
    claims.registered(GROUP, "r1", false, 21);
    claims.registered(GROUP, "r1", true, 22);
    assertNull(authority.primary(GROUP));
  }

  @Test
  void heartbeatsOfTheOldPrimaryDoNotStopTheNewOne() {
    authority.update(PrimaryRecord.leading(GROUP, "r1", 2, 2, 30));
    claims.registered(GROUP, "r1", true, 31);
    claims.registered(GROUP, "p", true, 32);
    claims.registered(GROUP, "p", true, 40);
    assertEquals("r1", authority.primary(GROUP));
    assertEquals(0, databases.asked);
    assertEquals(List.of(), events);
  }

  /**
   * An old primary that this host can't ask would stop the new one until it registers as a replica.
   */
  @Test
  void anOldPrimaryWhoseRegistrationHadLapsedDoesNotStopTheNewOne() {
    authority.update(PrimaryRecord.leading(GROUP, "r1", 2, 2, 30));
    claims.registered(GROUP, "r1", true, 31);
    claims.databasesChanged(GROUP, List.of("r1", "r2"));
    claims.registered(GROUP, "p", true, 40);
    assertEquals("r1", authority.primary(GROUP));
  }

  @Test
  void aClaimantWhoseRegistrationHadLapsedStopsTheUseAgain() {
    claims.registered(GROUP, "r1", true, 20);
    claims.databasesChanged(GROUP, List.of("p", "r2"));
    claims.registered(GROUP, "r1", true, 30);
    assertNull(authority.primary(GROUP));
  }

  /** The registration of a crashed primary stays for a while, and a new host reads it first. */
  @Test
  void aRegistrationOlderThanTheRecordIsNoClaim() {
    claims.registered(GROUP, "q", true, 9);
    assertEquals("p", authority.primary(GROUP));
    assertEquals(List.of(), events);
  }

  @Test
  void aDatabaseFirstSeenAsThePrimaryIsAClaimant() {
    claims.registered(GROUP, "q", true, 20);
    assertNull(authority.primary(GROUP));
  }

  @Test
  void aClaimBeforeTheRecordIsKnownCounts() {
    claims.registered("archive", "s1", true, 20);
    claims.registered("archive", "q", true, 20);
    authority.update(PrimaryRecord.leading("archive", "q", 1, 1, 10));
    assertNull(authority.primary("archive"));
  }

  /** Each change promotes a database, which registers before it is published. */
  @Test
  void thePromotionOfAChangeAsksNobodyAndIsNotReported() {
    authority.revoke(GROUP, 11);
    claims.registered(GROUP, "r1", true, 20);
    time.advance(500);
    authority.update(PrimaryRecord.leading(GROUP, "r1", 2, 2, 30));
    assertEquals("r1", authority.primary(GROUP));
    assertEquals(0, databases.asked);
    assertEquals(List.of(), events);
  }

  /** The call of an interrupted change promotes a database while the old primary still is used. */
  @Test
  void aWriteThatIsNotRevokedYetIsNotAcknowledgedAfterAClaim() {
    authority.revoke(GROUP, 11);
    assertTrue(authority.mayAcknowledgeWrite(GROUP, "p", 1));
    claims.registered(GROUP, "r1", true, 20);
    assertFalse(authority.mayAcknowledgeWrite(GROUP, "p", 1));
  }
}
