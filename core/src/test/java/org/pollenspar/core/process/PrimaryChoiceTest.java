package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenspar.core.connection.Position;

/** Guards against the choice of a database that lacks acknowledged writes, or of a second one. */
class PrimaryChoiceTest extends PrimaryChangeScenario {

  /** Guards against two primaries when the call of an interrupted change takes effect late. */
  @ParameterizedTest
  @ValueSource(strings = {"r1", "r2"})
  void candidateOfAnInterruptedChangeIsPromotedAgain(String candidate) {
    databases.at("r2", 10);
    old = new PrimaryRecord(GROUP, "p", 1, true, 1, candidate, old.revision());
    change();
    time.advance(6_000);
    assertTrue(steps.contains("promote " + candidate), steps.toString());
  }

  @Test
  void candidateOfAnInterruptedChangeThatIsBehindIsNotPromoted() {
    old = new PrimaryRecord(GROUP, "p", 1, true, 1, "r2", old.revision());
    change();
    time.advance(PromotionCalls.LATE_CALL_MS - 100);
    assertTrue(steps.stream().noneMatch(step -> step.startsWith("promote ")), steps.toString());
    time.advance(1_000);
    assertTrue(steps.contains("promote r1"), steps.toString());
    assertTrue(steps.stream().noneMatch("promote r2"::equals), steps.toString());
  }

  /** Guards against writes in the term that a leader had before it was promoted again. */
  @ParameterizedTest
  @ValueSource(longs = {2, 4})
  void leaderThatIsPromotedAgainIsPublishedOnceTheCallHasTakenEffect(long term) {
    databases.answers.remove("r2");
    databases.lead("r1", 2);
    old = new PrimaryRecord(GROUP, "p", 1, true, 1, "r2", old.revision());
    promotionMillis = 600;
    promotedTerm = term;
    change();
    time.advance(PromotionCalls.LATE_CALL_MS + PromotionCalls.ACCEPTED_CALL_MS + 1_000);
    assertTrue(steps.contains("promote r1"), steps.toString());
    PrimaryRecord published = storedRecord();
    assertNotNull(published);
    assertFalse(published.changing(), steps.toString());
    assertEquals("r1", published.database());
    assertEquals(term, published.term());
  }

  /**
   * The interrupted change may not have called for it, and a crashed database may lead a newer
   * term.
   */
  @ParameterizedTest
  @CsvSource({"2, true", "4, false"})
  void candidateThatLedBeforeIsPublishedOnlyInANewerTerm(long term, boolean called) {
    databases.answers.remove("r2");
    databases.lapse("r2");
    databases.lead("r1", term);
    old = new PrimaryRecord(GROUP, "p", 1, true, 1, "r1", 2, 0, old.revision());
    promotionMillis = 300;
    promotedTerm = 4;
    change();
    time.advance(3_000);
    assertEquals(called, steps.contains("promote r1"), steps.toString());
    PrimaryRecord published = storedRecord();
    assertNotNull(published);
    assertFalse(published.changing(), steps.toString());
    assertEquals(4, published.term());
  }

  @Test
  void drainingDatabaseThatLeadsTheNewestTermIsSeen() {
    databases.draining.add("r2");
    databases.claiming.add("r2");
    databases.lead("r2", 3);
    databases.lead("r1", 2);
    old = new PrimaryRecord(GROUP, "p", 1, true, 1, "", old.revision());
    change();
    time.advance(3_000);
    PrimaryRecord published = storedRecord();
    assertNotNull(published);
    assertEquals(3, published.term(), steps.toString());
  }

  @Test
  void leavingReplicaIsNotChosen() {
    databases.draining.add("r1");
    databases.at("r2", 10);
    change();
    time.advance(2_000);
    assertTrue(steps.contains("promote r2"), steps.toString());
  }

  /**
   * A database that is replaced hands its log, its term and the role of the primary over to the new
   * one at its address.
   */
  @Test
  void successorThatLeadsTheSameTermIsPublishedWithoutAPromotion() {
    databases.answers.remove("p");
    databases.answers.put("r1", new DatabaseControl.DatabaseStatus(true, 1, new Position(1, 10)));
    change();
    time.advance(2_000);
    assertTrue(steps.stream().noneMatch(step -> step.startsWith("promote")), steps.toString());
    assertTrue(steps.contains("done true"), steps.toString());
  }

  @Test
  void synchronousGroupWaitsForEachReplicaOfAnUnresponsivePrimary() {
    databases.syncReplicas = 1;
    databases.answers.remove("p");
    databases.answers.remove("r1");
    change();
    time.advance(3_000);
    assertTrue(steps.stream().noneMatch(step -> step.startsWith("promote")), steps.toString());
    databases.at("r1", 10);
    time.advance(2_000);
    assertTrue(steps.contains("promote r1"), steps.toString());
  }

  /**
   * Guards against the loss of acknowledged writes that only the old primary and a crashed replica
   * have: the registration of the replica lapses before it is back.
   */
  @Test
  void synchronousGroupWaitsForAReplicaWhoseRegistrationLapses() {
    databases.syncReplicas = 1;
    databases.answers.remove("p");
    databases.answers.remove("r1");
    change();
    time.advance(500);
    databases.lapse("p");
    databases.lapse("r1");
    time.advance(3_000);
    assertTrue(steps.stream().noneMatch(step -> step.startsWith("promote")), steps.toString());
    databases.registered.put("r1", databases.lapsed.remove("r1"));
    databases.at("r1", 10);
    time.advance(2_000);
    assertTrue(steps.contains("promote r1"), steps.toString());
  }

  /** Guards against the same loss if the registration lapsed before this host began the change. */
  @Test
  void synchronousGroupWaitsForAReplicaThatAnEarlierHolderRecorded() {
    databases.syncReplicas = 1;
    put(ControlKeys.replicas(GROUP), databases.replicas().encode());
    databases.answers.remove("p");
    databases.answers.remove("r1");
    databases.registered.remove("r1");
    change();
    time.advance(3_000);
    assertTrue(steps.stream().noneMatch(step -> step.startsWith("promote")), steps.toString());
    assertEquals(1, steps.stream().filter("promotion_waits"::equals).count(), steps.toString());
  }

  /** Guards against a group that stays without a primary although the old one is back. */
  @Test
  void synchronousGroupKeepsAPrimaryThatIsBackBeforeItsReplicas() {
    databases.syncReplicas = 1;
    databases.answers.remove("p");
    databases.answers.remove("r1");
    change(true);
    time.advance(3_000);
    databases.at("p", 10);
    time.advance(1_000);
    assertTrue(steps.stream().noneMatch(step -> step.startsWith("promote")), steps.toString());
    assertTrue(steps.contains("done true"), steps.toString());
  }

  /** Guards against the same after an interrupted change, which does not keep the old primary. */
  @Test
  void synchronousGroupPromotesTheOldPrimaryAgainIfNoOtherHasItsLog() {
    databases.syncReplicas = 1;
    databases.answers.remove("p");
    databases.answers.remove("r1");
    change();
    time.advance(3_000);
    databases.at("p", 10);
    time.advance(3_000);
    assertTrue(steps.contains("promote p"), steps.toString());
    assertTrue(steps.contains("done true"), steps.toString());
  }

  /**
   * Guards against a replica without acknowledged writes that is promoted over the old primary,
   * because it answers after the call to promote the old primary.
   */
  @Test
  void synchronousGroupKeepsTheOldPrimaryThatItPromotedAgain() {
    databases.syncReplicas = 1;
    databases.answers.remove("r1");
    databases.answers.remove("r2");
    change();
    time.advance(1_800);
    assertTrue(steps.contains("promote p"), steps.toString());
    databases.at("r1", 9);
    databases.at("r2", 8);
    time.advance(2_000);
    assertTrue(steps.contains("done true"), steps.toString());
    assertEquals(
        List.of("promote p"), steps.stream().filter(step -> step.startsWith("promote ")).toList());
  }

  /** A database that ends after it has drained hands its log over to a new one at its address. */
  @Test
  void synchronousGroupDoesNotWaitForADrainedReplicaThatHasASuccessor() {
    databases.syncReplicas = 1;
    databases.draining.add("r1");
    put(ControlKeys.replicas(GROUP), databases.replicas().encode());
    databases.answers.remove("p");
    databases.answers.remove("r1");
    databases.registered.remove("r1");
    databases.registered.put("r3", "10.0.0.2:1");
    databases.at("r3", 10);
    change();
    time.advance(2_000);
    assertTrue(steps.contains("promote r3"), steps.toString());
  }

  @Test
  void synchronousGroupPromotesALeavingReplicaThatIsAhead() {
    databases.syncReplicas = 1;
    databases.answers.remove("p");
    databases.draining.add("r1");
    change();
    time.advance(2_000);
    assertTrue(steps.contains("promote r1"), steps.toString());
  }
}
