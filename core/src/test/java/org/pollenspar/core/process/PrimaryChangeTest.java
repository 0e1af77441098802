package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a change that promotes a database while a member may still use the old primary.
 */
class PrimaryChangeTest extends PrimaryChangeScenario {

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
   * The member registered before this host, so members that do not know this host may still extend
   * its confirmation.
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

  /**
   * Guards against a member that is taken as revoked because a later process registered under its
   * name at another address and acknowledged the revocation.
   */
  @Test
  void earlierProcessOfAMemberIsStillWaitedFor() {
    put(
        ControlKeys.member("host"),
        ControlKeys.encode(new Member("host", "h", "1", "", 1_000, false)));
    put(
        ControlKeys.member("silent"),
        ControlKeys.encode(new Member("silent", "s", "1", "", 1_000, false)));
    reload();
    time.advance(Confirmation.MAX_WITHOUT_STORE_MS);
    change();
    time.advance(200);
    register(new Member("silent", "t", "2", "", 1_000, false));
    reload();
    time.advance(3_000);
    assertTrue(steps.stream().noneMatch(step -> step.startsWith("promote")), steps.toString());
    time.advance(Confirmation.VALID_MS);
    assertTrue(steps.contains("done true"), steps.toString());
  }

  private void register(Member member) {
    CoordinationStore ownConnection = store.connection(member.name(), Runnable::run);
    FleetTable ownTable = new FleetTable(new PrimaryAuthority(new Confirmation(time)), time);
    Members messages = new Members();
    new ConfirmationRenewer(
            ownConnection,
            ownTable,
            new Confirmation(time),
            messages,
            new SharedRenewal(ownConnection, ownTable, messages, time, time, member, 8),
            time,
            member,
            (event, subject, detail) -> {},
            () -> false)
        .load();
    time.advance(100);
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
