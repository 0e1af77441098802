package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.connection.Position;

/**
 * Guards against a database that is forgotten while it may hold the only copy of an acknowledged
 * write, and against one that is awaited for ever although others have its log.
 */
class ReplicaSetRecorderTest {
  private static final String GROUP = "ledger";
  private static final String KEY = ControlKeys.replicas(GROUP);

  private final FakeTime time = new FakeTime();
  private final ModelStore store = new ModelStore(time, new SplittableRandom(1));
  private final CoordinationStore connection = store.connection("host", Runnable::run);
  private final FleetTable table =
      new FleetTable(new PrimaryAuthority(new Confirmation(time)), time);
  private final Map<String, DatabaseControl.Candidate> registered = new TreeMap<>();
  private final Map<String, DatabaseControl.Candidate> lapsed = new TreeMap<>();
  private final Map<String, DatabaseControl.DatabaseStatus> answers = new TreeMap<>();
  private final Map<String, Long> born = new TreeMap<>();
  private int syncReplicas = 1;
  private long fence;

  private final DatabaseControl databases =
      new DatabaseControl() {
        @Override
        public Collection<String> groups() {
          return List.of(GROUP);
        }

        @Override
        public Collection<Candidate> candidates(String group) {
          return new ArrayList<>(registered.values());
        }

        @Override
        public Collection<Candidate> lapsed(String group) {
          return lapsed.values();
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
          status(group, database, done);
        }
      };

  private final ReplicaSetRecorder recorder = new ReplicaSetRecorder(context());

  private ControlContext context() {
    return new ControlContext(
        connection,
        table,
        databases,
        new NoMembers(),
        (group, database, holder, token, allowed, done) -> {},
        time,
        time,
        (event, subject, detail) -> {},
        "host",
        () -> true);
  }

  ReplicaSetRecorderTest() {
    connection.transact(
        List.of(),
        List.of(new CoordinationStore.Put(ControlKeys.FAILOVER_LEASE, "host", 0)),
        List.of(),
        reply -> fence = reply.revision());
    time.advance(50);
    table.onReplicasRemoved(ids -> lapsed.keySet().removeAll(ids));
    register("p", false);
    register("r1", false);
    register("r2", false);
    at("p", 10);
    at("r1", 10);
    at("r2", 8);
  }

  private void register(String id, boolean draining) {
    String address = "10.0.0." + id.charAt(id.length() - 1) + ":1";
    registered.put(
        id,
        new DatabaseControl.Candidate(
            id, address, draining, id.equals("p"), 0, born.getOrDefault(id, 0L)));
  }

  private void at(String id, long number) {
    answers.put(id, new DatabaseControl.DatabaseStatus(id.equals("p"), 1, new Position(1, number)));
  }

  private void crash(String id) {
    lapsed.put(id, registered.remove(id));
    answers.remove(id);
  }

  private void advance(long millis) {
    PrimaryRecord primary = PrimaryRecord.leading(GROUP, "p", 1, fence, 1);
    for (long passed = 0; passed < millis; passed += 250) {
      recorder.check(primary, fence);
      time.advance(250);
    }
  }

  /** Returns the databases in the store, not those in this host's copy of the table. */
  private List<String> recorded() {
    List<String> ids = new ArrayList<>();
    connection.range(
        KEY,
        reply ->
            reply
                .items()
                .forEach(item -> ids.addAll(ReplicaSet.decode(item.value()).replicas().keySet())));
    time.advance(50);
    ids.sort(null);
    return ids;
  }

  /** Messages to other members, which a recorder does not send. */
  private static final class NoMembers implements FleetMessages {
    @Override
    public void revoke(Member member, String group, long revision, Consumer<Boolean> done) {
      done.accept(false);
    }

    @Override
    public void ping(Member member, Consumer<Boolean> done) {
      done.accept(false);
    }

    @Override
    public void confirmsStoreOutage(Member member, long lease, Consumer<Boolean> done) {
      done.accept(false);
    }

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
    public void reaches(Member member, String group, String database, Consumer<Boolean> done) {
      done.accept(false);
    }
  }

  @Nested
  class Addition {

    @Test
    void registeredDatabasesAreRecorded() {
      advance(500);
      assertEquals(List.of("p", "r1", "r2"), recorded());
      register("r3", false);
      advance(500);
      assertEquals(List.of("p", "r1", "r2", "r3"), recorded());
    }

    /** The database came and went while no host held the failover lease. */
    @Test
    void databaseThatLapsedBeforeItWasRecordedIsRecorded() {
      answers.remove("p");
      lapsed.put("r1", registered.remove("r1"));
      advance(500);
      assertEquals(List.of("p", "r1", "r2"), recorded());
    }

    @Test
    void nothingIsRecordedForAnAsynchronousGroup() {
      syncReplicas = 0;
      advance(500);
      assertEquals(List.of(), recorded());
    }

    @Test
    void nothingIsWrittenAfterTheFailoverLeaseWasLost() {
      fence--;
      advance(500);
      assertEquals(List.of(), recorded());
    }
  }

  @Nested
  class Removal {

    /** Guards against a database that counts as holding what its earlier incarnation held. */
    @Test
    void earlierIncarnationStaysUntilThePositionOfThePrimaryIsReceived() {
      advance(500);
      born.put("r1", 100L);
      register("r1", false);
      advance(500);
      assertEquals(List.of("p", "r1@100", "r2"), recorded());
      born.put("r1", 200L);
      register("r1", false);
      at("r1", 0);
      advance(10_000);
      assertEquals(List.of("p", "r1@100", "r1@200", "r2"), recorded());
      at("r1", 10);
      advance(3_000);
      assertEquals(List.of("p", "r1@200", "r2"), recorded());
    }

    @Test
    void lapsedDatabaseStaysWhileThePrimaryDoesNotAnswer() {
      advance(500);
      crash("r1");
      answers.remove("p");
      at("r2", 10);
      advance(20_000);
      assertEquals(List.of("p", "r1", "r2"), recorded());
    }

    @Test
    void lapsedDatabaseStaysUntilAnotherHasReceivedWhatThePrimaryHad() {
      advance(500);
      crash("r1");
      advance(20_000);
      assertEquals(List.of("p", "r1", "r2"), recorded());
      at("r2", 10);
      advance(2_000);
      assertEquals(List.of("p", "r2"), recorded());
      advance(2_000);
      assertEquals(List.of("p", "r2"), recorded());
    }

    @Test
    void lastReplicaStaysWhenItLapses() {
      registered.remove("r2");
      advance(500);
      crash("r1");
      advance(20_000);
      assertEquals(List.of("p", "r1"), recorded());
    }

    @Test
    void databaseThatIsBackInTimeStays() {
      advance(500);
      at("r2", 10);
      lapsed.put("r1", registered.remove("r1"));
      advance(2_000);
      registered.put("r1", lapsed.remove("r1"));
      advance(5_000);
      assertEquals(List.of("p", "r1", "r2"), recorded());
    }

    @Test
    void drainedDatabaseIsRemovedWhenItsSuccessorIsRegistered() {
      register("r1", true);
      answers.remove("p");
      advance(500);
      crash("r1");
      advance(500);
      assertEquals(List.of("p", "r1", "r2"), recorded());
      registered.put("r9", new DatabaseControl.Candidate("r9", "10.0.0.1:1", false, false, 0, 0));
      advance(500);
      assertEquals(List.of("p", "r2", "r9"), recorded());
    }

    /** Only a database that drained is known to have handed on its log. */
    @Test
    void crashedDatabaseStaysWhenAnotherTakesItsAddress() {
      answers.remove("p");
      advance(500);
      crash("r1");
      registered.put("r9", new DatabaseControl.Candidate("r9", "10.0.0.1:1", false, false, 0, 0));
      advance(500);
      assertEquals(List.of("p", "r1", "r2", "r9"), recorded());
    }
  }
}
