package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.pollenspar.core.connection.Position;

/**
 * Scenario of tests of {@link PrimaryChange}: a group of a primary "p" and two replicas "r1" and
 * "r2", and a fleet whose members acknowledge each revocation, except those at the address "s".
 */
abstract class PrimaryChangeScenario {
  static final String GROUP = "ledger";
  final FakeTime time = new FakeTime();
  final ModelStore store = new ModelStore(time, new SplittableRandom(1));
  final FaultyTransactions connection =
      new FaultyTransactions(store.connection("host", Runnable::run));
  final FleetTable table = new FleetTable(new PrimaryAuthority(new Confirmation(time)), time);
  final Databases databases = new Databases();
  final List<String> steps = new ArrayList<>();
  boolean failoverLeaseHeld = true;
  boolean storeLostAtStepDown;
  int promotionMillis = 1;
  PromotionService.Outcome outcome = PromotionService.Outcome.ACCEPTED;
  long promotedTerm = 2;
  long failoverLeaseRevision;
  @Nullable PrimaryRecord old;
  @Nullable PrimaryRecord recordAtCall;

  /** Databases with positions and draining states set by a test; others do not answer. */
  final class Databases implements DatabaseControl {
    final Map<String, DatabaseStatus> answers = new TreeMap<>();
    final List<String> draining = new ArrayList<>();
    final List<String> claiming = new ArrayList<>(List.of("p"));
    final Map<String, String> registered =
        new TreeMap<>(Map.of("p", "10.0.0.1:1", "r1", "10.0.0.2:1", "r2", "10.0.0.3:1"));
    final Map<String, String> lapsed = new TreeMap<>();
    final Map<String, Long> born = new TreeMap<>();
    int syncReplicas;

    void at(String id, long number) {
      answers.put(id, new DatabaseStatus(id.equals("p"), 1, new Position(1, number)));
    }

    void lead(String id, long term) {
      answers.put(id, new DatabaseStatus(true, term, answers.get(id).received()));
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

    Collection<Candidate> candidates(Map<String, String> addresses) {
      List<Candidate> candidates = new ArrayList<>();
      addresses.forEach(
          (id, address) ->
              candidates.add(
                  new Candidate(
                      id,
                      address,
                      draining.contains(id),
                      claiming.contains(id),
                      0,
                      born.getOrDefault(id, 0L))));
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

  /** Members that acknowledge each revocation at once, except at the address "s". */
  final class Members implements FleetMessages {
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
      steps.add("revoke " + member.name());
      time.after(1, () -> done.accept(!member.address().equals("s")));
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

  void put(String key, String value) {
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

  void reload() {
    connection.range(ControlKeys.PREFIX, reply -> table.load(reply.items(), reply.revision()));
    time.advance(50);
  }

  @Nullable PrimaryRecord storedRecord() {
    String key = ControlKeys.primary(GROUP);
    return store.value(key) == null ? null : ControlKeys.decodePrimary(key, store.value(key), 1);
  }

  void change() {
    change(false);
  }

  void change(boolean keepIfRecovered) {
    ControlContext context =
        new ControlContext(
            connection,
            table,
            databases,
            new Members(),
            (group, database, holder, fence, allowed, done) -> {
              steps.add("promote " + database);
              recordAtCall = storedRecord();
              time.after(promotionMillis, () -> databases.lead(database, promotedTerm));
              time.after(5, () -> done.accept(outcome));
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
            new PromotionCalls(time, time.steadyNanos()),
            success -> steps.add("done " + success))
        .start("test");
  }
}
