package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import org.pollenspar.core.connection.Position;

/**
 * Guards against a recorded primary that hosts go on using although a late call has promoted
 * another database, and against changes that a database without the lead causes by its claim.
 */
class FailoverCoordinatorTest {
  private static final String GROUP = "ledger";
  private final FakeTime time = new FakeTime();
  private final ModelStore store = new ModelStore(time, new SplittableRandom(1));
  private final CoordinationStore connection = store.connection("host", Runnable::run);
  private final Confirmation confirmation = new Confirmation(time);
  private final PrimaryAuthority authority = new PrimaryAuthority(confirmation);
  private final FleetTable table = new FleetTable(authority, time);
  private final Databases databases = new Databases();
  private final List<String> events = new ArrayList<>();
  private final List<Consumer<PromotionService.Outcome>> calls = new ArrayList<>();
  private ConfirmationRenewer renewer;
  private FailoverCoordinator coordinator;

  /** A recorded primary "p" of term 1 that answers all along, and a replica "r". */
  private static final class Databases implements DatabaseControl {
    final Map<String, DatabaseStatus> answers = new TreeMap<>();
    boolean replicaClaims;
    boolean primaryDrains;

    @Override
    public Collection<String> groups() {
      return List.of(GROUP);
    }

    @Override
    public Collection<Candidate> candidates(String group) {
      return List.of(
          new Candidate("p", "10.0.0.1:1", primaryDrains, true, 0, 0),
          new Candidate("r", "10.0.0.2:1", false, replicaClaims, 0, 0));
    }

    @Override
    public Collection<Candidate> lapsed(String group) {
      return List.of();
    }

    @Override
    public int syncReplicas(String group) {
      return 0;
    }

    @Override
    public void status(String group, String database, Consumer<@Nullable DatabaseStatus> done) {
      done.accept(answers.get(database));
    }

    @Override
    public void stepDown(
        String group, String database, long term, Consumer<@Nullable DatabaseStatus> done) {
      done.accept(answers.get(database));
    }
  }

  /** A fleet of this host alone. */
  private static final class NoMembers implements FleetMessages {
    @Override
    public void watch(
        Member member,
        long afterRevision,
        long waitMillis,
        Consumer<CoordinationStore.Reply> done) {
      throw new UnsupportedOperationException();
    }

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
      done.accept(true);
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

  @BeforeEach
  void holdTheLeaseOfAGroupWithAPrimary() {
    Member self = new Member("host", "10.0.1.1:1", "1", "", 1_000, false);
    var messages = new NoMembers();
    var renewal = new SharedRenewal(connection, table, messages, time, time, self, 8);
    renewer =
        new ConfirmationRenewer(
            connection,
            table,
            confirmation,
            messages,
            renewal,
            time,
            self,
            (event, subject, detail) -> events.add(event + " " + detail),
            () -> false);
    coordinator =
        new FailoverCoordinator(
            connection,
            table,
            databases,
            messages,
            (group, database, holder, fence, allowed, done) -> calls.add(done),
            time,
            time,
            (event, subject, detail) -> events.add(event + " " + detail),
            "host",
            authority,
            renewer,
            0);
    databases.answers.put("p", status(true, 1));
    databases.answers.put("r", status(false, 1));
    renewer.load();
    time.advance(200);
    coordinator.acquireLeaseIfFree();
    time.advance(1_000);
    renewer.load();
    time.advance(200);
    assertTrue(events.stream().anyMatch(each -> each.startsWith("primary_appointed")));
    assertTrue(coordinator.holdsLease());
  }

  private static DatabaseControl.DatabaseStatus status(boolean primary, long term) {
    return new DatabaseControl.DatabaseStatus(primary, term, new Position(term, 10));
  }

  private boolean changeStarted() {
    return events.stream().anyMatch(each -> each.startsWith("change_started"));
  }

  @Test
  void databaseThatLeadsANewerTermReplacesThePrimaryAtOnce() {
    databases.answers.put("r", status(true, 2));
    databases.replicaClaims = true;
    coordinator.databasesChanged(GROUP);
    assertTrue(changeStarted(), events.toString());
    time.advance(2_000);
    assertTrue(events.toString().contains("r leads term 2"), events.toString());
  }

  @Test
  void claimOfADatabaseThatDoesNotLeadANewerTermChangesNothing() {
    databases.replicaClaims = true;
    for (DatabaseControl.DatabaseStatus each : List.of(status(true, 1), status(false, 2))) {
      databases.answers.put("r", each);
      coordinator.databasesChanged(GROUP);
      time.advance(2_000);
    }
    assertFalse(changeStarted(), events.toString());
  }

  /**
   * Guards against a call that reaches the platform after one of the next holder, since this host
   * has ended the failover lease while its call was under way.
   */
  @Nested
  class Stop {
    private static final int CALL_MS = 1_100;

    private boolean leaseInStore() {
      boolean[] found = {false};
      connection.range(ControlKeys.FAILOVER_LEASE, reply -> found[0] = !reply.items().isEmpty());
      time.advance(20);
      return found[0];
    }

    private void stopDuringCall() {
      databases.primaryDrains = true;
      coordinator.databasesChanged(GROUP);
      time.advance(500);
      assertEquals(1, calls.size(), events.toString());
      coordinator.stop();
      time.advance(CALL_MS);
      assertTrue(leaseInStore(), events.toString());
      assertFalse(coordinator.released());
    }

    @Test
    void changeIsFinishedBeforeTheLeaseIsReleased() {
      stopDuringCall();
      databases.answers.put("r", status(true, 2));
      calls.get(0).accept(PromotionService.Outcome.ACCEPTED);
      time.advance(200);
      assertTrue(events.toString().contains("r leads term 2"), events.toString());
      assertFalse(leaseInStore());
      assertTrue(coordinator.released());
    }

    @Test
    void noFurtherCallIsMade() {
      stopDuringCall();
      calls.get(0).accept(PromotionService.Outcome.NOT_EXECUTED);
      time.advance(200);
      assertEquals(1, calls.size());
      assertFalse(leaseInStore());
    }

    @Test
    void aDatabaseThatDoesNotLeadInTimeIsLeftToTheNextHolder() {
      stopDuringCall();
      calls.get(0).accept(PromotionService.Outcome.ACCEPTED);
      time.advance(1_000);
      assertFalse(leaseInStore());
    }

    /** Guards against a lease that its holder neither uses nor ends. */
    @Test
    void aLeaseThatTheStoreGrantsAfterTheStopIsEnded() {
      coordinator.stop();
      for (int delayMillis = 0; delayMillis < 30; delayMillis++) {
        time.advance(50);
        renewer.load();
        time.advance(50);
        FailoverLease other =
            new FailoverLease(
                connection,
                table,
                time,
                time,
                (event, subject, detail) -> {},
                "other",
                renewer,
                0,
                new FailoverLease.Owner() {
                  @Override
                  public void taken() {}

                  @Override
                  public void lost() {}
                });
        other.acquireIfFree();
        time.advance(delayMillis);
        boolean taken = other.taken();
        other.stop();
        time.advance(100);
        assertEquals(taken, other.taken());
        other.release();
        time.advance(20);
        assertFalse(leaseInStore(), "stopped after " + delayMillis + " ms");
      }
    }

    @Test
    void theLeaseIsReleasedAtOnceWithoutACall() {
      coordinator.stop();
      time.advance(20);
      assertFalse(leaseInStore());
      assertTrue(coordinator.released());
    }
  }

  /**
   * Guards against a call that reaches the platform after one of the next holder, since the lease
   * expired while the call was under way.
   */
  @Test
  void noCallIsSentThatMayOutliveTheLease() {
    databases.primaryDrains = true;
    coordinator.databasesChanged(GROUP);
    time.advance(500);
    assertEquals(1, calls.size(), events.toString());
    store.outage(10_000);
    int waitedMillis = 0;
    int lastCallMillis = 0;
    for (int answered = 0; waitedMillis < 5_000; waitedMillis += 20) {
      if (answered < calls.size()) {
        calls.get(answered++).accept(PromotionService.Outcome.NOT_EXECUTED);
        lastCallMillis = waitedMillis;
      }
      time.advance(20);
    }
    assertTrue(lastCallMillis + PromotionService.CALL_LIMIT_MS < 3_000, "" + lastCallMillis);
    assertTrue(calls.size() > 1);
  }
}
