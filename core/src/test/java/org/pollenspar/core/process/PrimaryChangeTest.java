package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenspar.core.connection.Position;

/**
 * Guards against a change that promotes a database while a member may still use the old primary,
 * and against the choice of a database that lacks acknowledged writes.
 */
class PrimaryChangeTest {
  private static final String GROUP = "ledger";
  private final FakeTime time = new FakeTime();
  private final ModelStore store = new ModelStore(time, new SplittableRandom(1));
  private final FaultyTransactions connection =
      new FaultyTransactions(store.connection("host", Runnable::run));
  private final FleetTable table =
      new FleetTable(new PrimaryAuthority(new Confirmation(time)), time);
  private final Databases databases = new Databases();
  private final List<String> steps = new ArrayList<>();
  private boolean failoverLeaseHeld = true;
  private boolean storeLostAtStepDown;
  private long failoverLeaseRevision;
  private @Nullable PrimaryRecord old;
  private @Nullable PrimaryRecord recordAtCall;

  /** Databases with positions and draining states set by a test; others do not answer. */
  private final class Databases implements DatabaseControl {
    final Map<String, DatabaseStatus> answers = new TreeMap<>();
    final List<String> draining = new ArrayList<>();
    final Map<String, String> registered =
        new TreeMap<>(Map.of("p", "10.0.0.1:1", "r1", "10.0.0.2:1", "r2", "10.0.0.3:1"));
    final Map<String, String> lapsed = new TreeMap<>();
    int syncReplicas;

    void at(String id, long number) {
      answers.put(id, new DatabaseStatus(id.equals("p"), 1, new Position(1, number)));
    }

    @Override
    public Collection<String> groups() {
      return List.of(GROUP);
    }

    @Override
    public Collection<Candidate> candidates(String group) {
      return candidates(registered);
    }

    @Override
    public Collection<Candidate> lapsed(String group) {
      return candidates(lapsed);
    }

    private Collection<Candidate> candidates(Map<String, String> addresses) {
      List<Candidate> candidates = new ArrayList<>();
      addresses.forEach(
          (id, address) ->
              candidates.add(new Candidate(id, address, draining.contains(id), id.equals("p"), 0)));
      return candidates;
    }

    void lapse(String id) {
      lapsed.put(id, registered.remove(id));
    }

    ReplicaSet replicas() {
      return ReplicaSet.EMPTY.with(List.of(), candidates(GROUP));
    }

    @Override
    public int syncReplicas(String group) {
      return syncReplicas;
    }

    @Override
    public void status(String group, String database, Consumer<@Nullable DatabaseStatus> done) {
      time.after(1, () -> done.accept(answers.get(database)));
    }

    @Override
    public void stepDown(
        String group, String database, long term, Consumer<@Nullable DatabaseStatus> done) {
      steps.add("step down " + database);
      if (storeLostAtStepDown) {
        store.refuse("host", 60_000);
      }
      status(group, database, done);
    }
  }

  /** Members that acknowledge each revocation at once, except one with the name "silent". */
  private final class Members implements FleetMessages {
    @Override
    public void renew(Member member, long lease, Consumer<Boolean> done) {
      done.accept(false);
    }

    @Override
    public void ping(Member member, Consumer<Boolean> done) {
      done.accept(true);
    }

    @Override
    public void revoke(Member member, String group, long revision, Consumer<Boolean> done) {
      steps.add("revoke " + member.name());
      time.after(1, () -> done.accept(!member.name().equals("silent")));
    }

    @Override
    public void confirmsStoreOutage(Member member, long lease, Consumer<Boolean> done) {
      done.accept(false);
    }

    @Override
    public void reaches(Member member, String group, String database, Consumer<Boolean> done) {
      done.accept(false);
    }
  }

  private void put(String key, String value) {
    connection.transact(
        List.of(), List.of(new CoordinationStore.Put(key, value, 0)), List.of(), reply -> {});
    time.advance(50);
  }

  @BeforeEach
  void setUp() {
    put(ControlKeys.FAILOVER_LEASE, "host");
    put(ControlKeys.SHARED_LEASE, ControlKeys.encodeSharedLease(0));
    put(ControlKeys.primary(GROUP), ControlKeys.encode(PrimaryRecord.leading(GROUP, "p", 1, 1, 0)));
    put(ControlKeys.member("a"), ControlKeys.encode(new Member("a", "a", "1", "", 1_000, false)));
    reload();
    failoverLeaseRevision = table.revision(ControlKeys.FAILOVER_LEASE);
    long revision = table.revision(ControlKeys.primary(GROUP));
    old = PrimaryRecord.leading(GROUP, "p", 1, 1, revision);
    databases.at("p", 10);
    databases.at("r1", 10);
    databases.at("r2", 8);
  }

  private void reload() {
    connection.range(ControlKeys.PREFIX, reply -> table.load(reply.items(), reply.revision()));
    time.advance(50);
  }

  private @Nullable PrimaryRecord storedRecord() {
    String key = ControlKeys.primary(GROUP);
    return store.value(key) == null ? null : ControlKeys.decodePrimary(key, store.value(key), 1);
  }

  private void change() {
    change(false);
  }

  private void change(boolean keepIfRecovered) {
    ControlContext context =
        new ControlContext(
            connection,
            table,
            databases,
            new Members(),
            (group, database, holder, fence, done) -> {
              steps.add("promote " + database);
              recordAtCall = storedRecord();
              databases.answers.put(
                  database,
                  new DatabaseControl.DatabaseStatus(
                      true, 2, databases.answers.get(database).received()));
              time.after(5, () -> done.accept(PromotionService.Outcome.ACCEPTED));
            },
            time,
            time,
            (event, subject, detail) -> steps.add(event),
            "host",
            () -> failoverLeaseHeld);
    new PrimaryChange(
            context,
            old,
            failoverLeaseRevision,
            keepIfRecovered,
            success -> steps.add("done " + success))
        .start("test");
  }

  @Nested
  class Order {

    @Test
    void membersAcknowledgeTheRevocationBeforeThePromotion() {
      change();
      time.advance(2_000);
      assertTrue(steps.indexOf("revoke a") < steps.indexOf("step down p"), steps.toString());
      assertTrue(steps.indexOf("step down p") < steps.indexOf("promote r1"), steps.toString());
      assertTrue(steps.contains("done true"), steps.toString());
      assertEquals(
          "r1",
          ControlKeys.decodePrimary(
                  ControlKeys.primary(GROUP), table.value(ControlKeys.primary(GROUP)), 1)
              .database());
    }

    @Test
    void unresponsiveMemberIsWaitedForUntilItsConfirmationExpires() {
      put(
          ControlKeys.member("host"),
          ControlKeys.encode(new Member("host", "h", "1", "", 1_000, false)));
      put(
          ControlKeys.member("silent"),
          ControlKeys.encode(new Member("silent", "s", "1", "", 1_000, false)));
      change();
      time.advance(Confirmation.VALID_MS);
      assertTrue(steps.stream().noneMatch(step -> step.startsWith("promote")), steps.toString());
      time.advance(3_000);
      assertTrue(steps.contains("done true"), steps.toString());
    }

    /**
     * The member registered before this host, so members that do not know this host may still
     * extend its confirmation.
     */
    @Test
    void unresponsiveMemberThatMayNotKnowThisHostIsWaitedForLonger() {
      put(
          ControlKeys.member("silent"),
          ControlKeys.encode(new Member("silent", "s", "1", "", 1_000, false)));
      put(
          ControlKeys.member("host"),
          ControlKeys.encode(new Member("host", "h", "1", "", 1_000, false)));
      reload();
      change();
      time.advance(Confirmation.MAX_WITHOUT_STORE_MS - 1_000);
      assertTrue(steps.stream().noneMatch(step -> step.startsWith("promote")), steps.toString());
      time.advance(3_000);
      assertTrue(steps.contains("done true"), steps.toString());
    }

    /**
     * The member was suspended long before the change, so its confirmation has expired when the
     * change begins.
     */
    @Test
    void memberSuspendedEarlierIsWaitedForSinceItsSuspension() {
      put(
          ControlKeys.member("host"),
          ControlKeys.encode(new Member("host", "h", "1", "", 1_000, false)));
      put(
          ControlKeys.member("silent"),
          ControlKeys.encode(new Member("silent", "s", "1", "", 1_000, true)));
      put(ControlKeys.SHARED_LEASE, ControlKeys.encodeSharedLease(0));
      reload();
      time.advance(Confirmation.MAX_WITHOUT_STORE_MS);
      change();
      time.advance(2_000);
      assertTrue(steps.contains("done true"), steps.toString());
    }

    /**
     * The member registered again between its two suspensions, and this host did not receive the
     * event. So it may have renewed its confirmation shortly before the second suspension.
     */
    @Test
    void memberSuspendedTwiceIsWaitedForSinceItsSecondSuspension() {
      put(
          ControlKeys.member("host"),
          ControlKeys.encode(new Member("host", "h", "1", "", 1_000, false)));
      put(
          ControlKeys.member("silent"),
          ControlKeys.encode(new Member("silent", "s", "1", "", 1_000, true)));
      put(ControlKeys.SHARED_LEASE, ControlKeys.encodeSharedLease(0));
      reload();
      time.advance(Confirmation.MAX_WITHOUT_STORE_MS);
      put(
          ControlKeys.member("silent"),
          ControlKeys.encode(new Member("silent", "s", "2", "", 1_000, true)));
      put(ControlKeys.SHARED_LEASE, ControlKeys.encodeSharedLease(0));
      reload();
      change();
      time.advance(Confirmation.VALID_MS);
      assertTrue(steps.stream().noneMatch(step -> step.startsWith("promote")), steps.toString());
    }

    /** A promotion would lose what the replicas have not received, and would take longer. */
    @Test
    void primaryThatIsReachableAgainIsKept() {
      change(true);
      time.advance(2_000);
      assertTrue(steps.stream().noneMatch(step -> step.startsWith("promote")), steps.toString());
      assertTrue(steps.stream().noneMatch(step -> step.startsWith("step")), steps.toString());
      assertTrue(steps.contains("done true"), steps.toString());
      String record = table.value(ControlKeys.primary(GROUP));
      PrimaryRecord kept = ControlKeys.decodePrimary(ControlKeys.primary(GROUP), record, 1);
      assertEquals("p", kept.database());
      assertEquals(1, kept.term());
    }

    @Test
    void primaryThatStaysUnreachableIsReplaced() {
      databases.answers.remove("p");
      change(true);
      time.advance(2_000);
      assertTrue(steps.contains("promote r1"), steps.toString());
    }

    @Test
    void primaryThatIsReachableAgainButDrainsIsReplaced() {
      databases.draining.add("p");
      change(true);
      time.advance(4_000);
      assertTrue(steps.contains("promote r1"), steps.toString());
    }

    @Test
    void afterAnInterruptedChangeTheOldPrimaryIsNotKept() {
      old = new PrimaryRecord(GROUP, "p", 1, true, 1, "", old.revision());
      change(true);
      time.advance(6_000);
      assertTrue(steps.contains("promote r1"), steps.toString());
    }

    /**
     * Guards against a holder that loses the store, and with it the failover lease, and still calls
     * for a database while the next holder chooses another one.
     */
    @Test
    void nothingIsPromotedBeforeTheCandidateIsRecorded() {
      change();
      time.advance(2_000);
      assertTrue(steps.contains("promote r1"), steps.toString());
      assertTrue(recordAtCall.changing());
      assertEquals("r1", recordAtCall.candidate());
    }

    @Test
    void nothingIsPromotedWithoutTheStore() {
      storeLostAtStepDown = true;
      change();
      time.advance(10_000);
      assertTrue(steps.contains("step down p"), steps.toString());
      assertTrue(steps.stream().noneMatch(step -> step.startsWith("promote")), steps.toString());
      assertTrue(steps.contains("done false"), steps.toString());
    }

    /** Guards against writes of the table that are given up although they took effect. */
    @Test
    void aWriteWithoutAnAnswerIsFoundInTheTable() {
      connection.fault = FaultyTransactions.Fault.EXECUTED_AT_ONCE;
      change();
      time.advance(10_000);
      assertTrue(steps.contains("done true"), steps.toString());
    }

    /**
     * Guards against a member that is taken as revoked because it has registered since the intent:
     * the registration may have been executed late, before the member has read the intent.
     */
    @Test
    void memberThatRegistersAgainIsStillAsked() {
      put(
          ControlKeys.member("host"),
          ControlKeys.encode(new Member("host", "h", "1", "", 1_000, false)));
      String silent = ControlKeys.encode(new Member("silent", "s", "1", "", 1_000, false));
      put(ControlKeys.member("silent"), silent);
      change();
      time.advance(200);
      put(ControlKeys.member("silent"), silent);
      reload();
      time.advance(3_000);
      assertTrue(steps.stream().noneMatch(step -> step.startsWith("promote")), steps.toString());
    }

    /** Guards against members that renew a shared lease which this host does not know. */
    @Test
    void sharedLeaseThatTheTableLacksIsEnded() {
      long[] lease = {0};
      connection.grantLease(60_000, reply -> lease[0] = reply.lease());
      time.advance(50);
      put(ControlKeys.SHARED_LEASE, ControlKeys.encodeSharedLease(lease[0]));
      change();
      time.advance(2_000);
      List<CoordinationStore.Status> renewals = new ArrayList<>();
      connection.renewLease(lease[0], reply -> renewals.add(reply.status()));
      time.advance(50);
      assertEquals(List.of(CoordinationStore.Status.NOT_FOUND), renewals);
      assertTrue(steps.contains("done true"), steps.toString());
    }

    @Test
    void nothingIsPromotedWithoutTheFailoverLease() {
      failoverLeaseHeld = false;
      change();
      time.advance(2_000);
      assertTrue(steps.stream().noneMatch(step -> step.startsWith("promote")), steps.toString());
      assertTrue(steps.contains("done false"), steps.toString());
    }
  }

  @Nested
  class Choice {

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
      time.advance(6_000);
      assertTrue(steps.contains("promote r1"), steps.toString());
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
     * A database that is replaced hands its log, its term and the role of the primary over to the
     * new one at its address.
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
     * Guards against the loss of acknowledged writes that only the old primary and a crashed
     * replica have: the registration of the replica lapses before it is back.
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

    /**
     * Guards against the same loss if the registration lapsed before this host began the change.
     */
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
          List.of("promote p"),
          steps.stream().filter(step -> step.startsWith("promote ")).toList());
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
}
