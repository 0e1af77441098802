package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against registrations that are changed by calls which the store executes late, and against
 * members that vouch for an outage of the store although a change of a primary has begun.
 */
class ConfirmationRenewerTest {
  private final FakeTime time = new FakeTime();
  private final ModelStore store = new ModelStore(time, new SplittableRandom(1));
  private final FaultyTransactions connection = faulty();
  private final PrimaryAuthority authority = new PrimaryAuthority(new Confirmation(time));
  private final FleetTable table = new FleetTable(authority, time);
  private final ConfirmationRenewer renewer = renewer("1", table, connection);

  /** Messages that no member answers. */
  private static final class NoAnswers implements FleetMessages {
    @Override
    public void renew(Member member, long lease, Consumer<Boolean> done) {
      done.accept(false);
    }

    @Override
    public void ping(Member member, Consumer<Boolean> done) {
      done.accept(false);
    }

    @Override
    public void revoke(Member member, String group, long revision, Consumer<Boolean> done) {
      done.accept(false);
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

  private FaultyTransactions faulty() {
    return new FaultyTransactions(store.connection("a", Runnable::run));
  }

  private ConfirmationRenewer renewer(
      String incarnation, FleetTable ownTable, CoordinationStore ownConnection) {
    Member self = new Member("a", "10.0.0.1:1", incarnation, "", 1_000, false);
    var messages = new NoAnswers();
    return new ConfirmationRenewer(
        ownConnection,
        ownTable,
        new Confirmation(time),
        messages,
        new SharedRenewal(ownConnection, ownTable, messages, time, time, self, 8),
        time,
        self,
        (event, subject, detail) -> {},
        () -> false);
  }

  @BeforeEach
  void register() {
    renewer.load();
    time.advance(500);
    assertEquals("1", registeredIncarnation());
  }

  private @Nullable String registeredIncarnation() {
    String key = ControlKeys.member("a");
    String value = store.value(key);
    return value == null ? null : ControlKeys.decodeMember(key, value).incarnation();
  }

  private FleetTable emptyTable() {
    return new FleetTable(new PrimaryAuthority(new Confirmation(time)), time);
  }

  private void restart() {
    renewer("2", emptyTable(), faulty()).load();
    time.advance(500);
    assertEquals("2", registeredIncarnation());
  }

  @Test
  void lateRemovalKeepsALaterRegistration() {
    connection.fault = FaultyTransactions.Fault.EXECUTED_LATER;
    renewer.unregister(() -> {});
    restart();
    connection.executeFirstHeld();
    time.advance(50);
    assertEquals("2", registeredIncarnation());
  }

  @Test
  void lateRegistrationKeepsALaterOne() {
    FaultyTransactions stopped = faulty();
    stopped.fault = FaultyTransactions.Fault.EXECUTED_LATER;
    renewer("0", emptyTable(), stopped).load();
    time.advance(100);
    restart();
    stopped.executeFirstHeld();
    time.advance(50);
    assertEquals("2", registeredIncarnation());
  }

  /** The host that began a change may have given it up, so it does not report one in progress. */
  @Test
  void outageIsNotConfirmedOnceAChangeHasBegun() {
    store.refuse("a", 60_000);
    time.advance(5_000);
    assertTrue(renewer.confirmsStoreOutage(table.sharedLease()));
    authority.revoke("ledger", table.revision(ControlKeys.SHARED_LEASE) + 1);
    assertFalse(renewer.confirmsStoreOutage(table.sharedLease()));
  }
}
