package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against registrations that are changed by calls which the store executes late, against
 * confirmations of hosts that a change of a primary does not wait for, and against members that
 * vouch for an outage of the store although a change of a primary has begun.
 */
class ConfirmationRenewerTest {
  private final FakeTime time = new FakeTime();
  private final ModelStore store = new ModelStore(time, new SplittableRandom(1));
  private final FaultyTransactions connection = faulty();
  private final PrimaryAuthority authority = new PrimaryAuthority(new Confirmation(time));
  private final FleetTable table = new FleetTable(authority, time);
  private final Confirmation confirmation = new Confirmation(time);
  private final ConfirmationRenewer renewer =
      renewer(host("1", "10.0.0.1:1"), table, connection, confirmation);
  private boolean leaving;

  /** Messages that no member answers. */
  private static final class NoAnswers implements FleetMessages {
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

  private static Member host(String incarnation, String address) {
    return new Member("a", address, incarnation, "", 1_000, false);
  }

  private ConfirmationRenewer renewer(
      String incarnation, FleetTable ownTable, CoordinationStore ownConnection) {
    return renewer(
        host(incarnation, "10.0.0.1:1"), ownTable, ownConnection, new Confirmation(time));
  }

  private ConfirmationRenewer renewer(
      Member self,
      FleetTable ownTable,
      CoordinationStore ownConnection,
      Confirmation ownConfirmation) {
    var messages = new NoAnswers();
    return new ConfirmationRenewer(
        ownConnection,
        ownTable,
        ownConfirmation,
        messages,
        new SharedRenewal(ownConnection, ownTable, messages, time, time, self, 8),
        time,
        self,
        (event, subject, detail) -> {},
        () -> leaving);
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

  private void put(String key, String value) {
    store
        .connection("b", Runnable::run)
        .transact(
            List.of(), List.of(new CoordinationStore.Put(key, value, 0)), List.of(), reply -> {});
    time.advance(50);
  }

  private void replaceSharedLease() {
    CoordinationStore other = store.connection("b", Runnable::run);
    long[] granted = {0};
    other.grantLease(60_000, reply -> granted[0] = reply.lease());
    other.endLease(table.sharedLease(), reply -> {});
    time.advance(50);
    put(ControlKeys.SHARED_LEASE, ControlKeys.encodeSharedLease(granted[0]));
  }

  /** A change waits for a suspended member only until its last possible renewal has expired. */
  @Test
  void suspendedHostThatLeavesDoesNotRenew() {
    leaving = true;
    put(ControlKeys.member("a"), ControlKeys.encode(host("1", "10.0.0.1:1").asSuspended()));
    replaceSharedLease();
    renewer.load();
    time.advance(Confirmation.VALID_MS + 1_000);
    assertFalse(confirmation.holds());
  }

  @Test
  void hostThatLeavesDoesNotRegisterAgain() {
    leaving = true;
    Member suspended = host("1", "10.0.0.1:1").asSuspended();
    put(ControlKeys.member("a"), ControlKeys.encode(suspended));
    renewer.load();
    time.advance(2_000);
    assertEquals(ControlKeys.encode(suspended), store.value(ControlKeys.member("a")));
  }

  @Test
  void registeredHostThatLeavesStillRenews() {
    leaving = true;
    time.advance(2 * Confirmation.VALID_MS);
    assertTrue(confirmation.holds());
  }

  @Test
  void replacedHostThatLeavesDoesNotRenew() {
    leaving = true;
    put(ControlKeys.member("a"), ControlKeys.encode(host("2", "10.0.0.2:1")));
    renewer.load();
    time.advance(Confirmation.VALID_MS + 1_000);
    assertFalse(confirmation.holds());
  }

  /** A host that is no member is not asked by a change, so it must not use a primary any more. */
  @Test
  void renewalAnsweredAfterUnregisteringDoesNotCount() {
    renewer.registerOrRenew();
    time.advance(995);
    renewer.registerOrRenew();
    renewer.unregister(() -> {});
    time.advance(4);
    assertFalse(confirmation.holds());
    time.advance(2_000);
    assertFalse(confirmation.holds());
  }

  /** The change began between the first read and the registration, so it does not ask this host. */
  @Test
  void hostDoesNotRenewBeforeItHasReadTheTableAfterItsRegistration() {
    put(ControlKeys.primary("ledger"), leading("i-1", false));
    FaultyTransactions slow = faulty();
    FleetTable ownTable = emptyTable();
    Confirmation ownConfirmation = new Confirmation(time);
    ConfirmationRenewer started = renewer(host("2", "10.0.0.1:1"), ownTable, slow, ownConfirmation);
    slow.holdsReadAnswers = true;
    started.load();
    time.advance(50);
    put(ControlKeys.primary("ledger"), leading("i-1", true));
    slow.deliverHeldAnswer();
    time.advance(50);
    replaceSharedLease();
    for (String key : List.of(ControlKeys.SHARED_LEASE, ControlKeys.member("a"))) {
      store
          .connection("b", Runnable::run)
          .range(key, reply -> reply.items().forEach(ownTable::apply));
    }
    time.advance(50);
    started.registerOrRenew();
    time.advance(50);
    assertFalse(ownConfirmation.holds());
    slow.holdsReadAnswers = false;
    slow.deliverHeldAnswer();
    time.advance(50);
    assertTrue(ownConfirmation.holds());
  }

  private static String leading(String database, boolean changing) {
    PrimaryRecord record = PrimaryRecord.leading("ledger", database, 3, 1, 0);
    return ControlKeys.encode(changing ? record.changingTo("", PrimaryRecord.NO_TERM, 1) : record);
  }

  @Test
  void unregisteringKeepsALaterProcessOfTheSameName() {
    renewer(host("2", "10.0.0.2:1"), emptyTable(), faulty(), new Confirmation(time)).load();
    time.advance(500);
    leaving = true;
    renewer.load();
    time.advance(50);
    renewer.unregister(() -> {});
    time.advance(50);
    assertEquals("2", registeredIncarnation());
    assertNull(store.value(ControlKeys.member("a@1")));
  }

  /** A change that replaces a primary must still ask the earlier process or wait for it. */
  @Test
  void earlierProcessAtAnotherAddressStaysAMember() {
    renewer(host("2", "10.0.0.2:1"), emptyTable(), faulty(), new Confirmation(time)).load();
    time.advance(500);
    assertEquals("2", registeredIncarnation());
    FleetTable loaded = emptyTable();
    store
        .connection("b", Runnable::run)
        .range(ControlKeys.PREFIX, reply -> loaded.load(reply.items(), reply.revision()));
    time.advance(50);
    assertTrue(
        loaded.members().stream()
            .anyMatch(
                each ->
                    each.suspended()
                        && each.incarnation().equals("1")
                        && each.address().equals("10.0.0.1:1")),
        loaded.members().toString());
  }

  /** The port of the address was free, so the earlier process had ended. */
  @Test
  void earlierProcessAtTheSameAddressIsReplaced() {
    restart();
    FleetTable loaded = emptyTable();
    store
        .connection("b", Runnable::run)
        .range(ControlKeys.PREFIX, reply -> loaded.load(reply.items(), reply.revision()));
    time.advance(50);
    assertEquals(1, loaded.members().size());
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
