package org.pollenspar.standin.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.pollenspar.core.connection.Position;
import org.pollenspar.standin.request.SqlException;
import org.pollenspar.standin.request.SqlParser;
import org.pollenspar.standin.version.AppendReply;
import org.pollenspar.standin.version.AppendRequest;
import org.pollenspar.standin.version.DatabaseEngine;
import org.pollenspar.standin.version.EngineCounters;
import org.pollenspar.standin.version.Transaction;

/**
 * Guards against a stand-in that loses a write which could have been acknowledged to its caller, or
 * whose logs still differ after replication has caught up. Such a fault needs a certain order of
 * writes, lost or late messages, fences and promotions, so the test runs random histories of these
 * on engines without a network; every message may be lost or late.
 */
class FailoverHistoryProperties {
  private static final int STEPS = 300;

  @Property(tries = 400, seed = "20261204")
  void acknowledgedWritesSurviveEveryFailover(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 2) int tolerated) throws Exception {
    History history = new History(2 * tolerated + 1, new Random(seed));
    for (int step = 0; step < STEPS; step++) {
      history.step();
    }
    history.converge();
    history.verify();
  }

  /** One group, and the writes that its callers may have seen acknowledged. */
  private static final class History {
    private final List<DatabaseEngine> engines = new ArrayList<>();
    private final Map<String, Long> nextOffsets = new HashMap<>();
    private final Map<Integer, Position> writePositions = new HashMap<>();
    private final TreeSet<String> acknowledged = new TreeSet<>();
    private final Random random;
    private long term = 1;
    private boolean promoted = true;
    private int writes;

    History(int size, Random random) {
      this.random = random;
      for (int i = 0; i < size; i++) {
        engines.add(new DatabaseEngine("d" + i, 0, new EngineCounters(), () -> 0, () -> {}));
      }
      engines.get(0).promote(1);
    }

    void step() throws Exception {
      switch (random.nextInt(20)) {
        case 0 -> fence(random.nextInt(engines.size() + 1));
        case 1, 2 -> promote();
        case 3, 4, 5, 6 -> write(random.nextInt(engines.size()));
        default -> replicate(random.nextInt(engines.size()), random.nextInt(engines.size()));
      }
      recordAcknowledgements();
    }

    private void write(int at) throws SqlException {
      DatabaseEngine engine = engines.get(at);
      if (engine.primaryTerm().isEmpty()) {
        return;
      }
      writes++;
      try {
        run(engine, "INSERT INTO pollenspar.keys (key) VALUES ('" + writes + "')");
        writePositions.put(writes, engine.state().position());
      } catch (SqlException e) {
        assertEquals("25006", e.sqlState());
      }
    }

    private static void run(DatabaseEngine engine, String sql) throws SqlException {
      Transaction transaction = engine.begin(false);
      try {
        engine.execute(transaction, SqlParser.parse(sql).get(0).statement(), "");
      } catch (SqlException e) {
        engine.rollback(transaction);
        throw e;
      }
      engine.commit(transaction);
    }

    private void replicate(int from, int to) throws InterruptedException {
      Optional<Long> led = engines.get(from).primaryTerm();
      if (from == to || led.isEmpty()) {
        return;
      }
      String direction = from + "-" + to + "-" + led.get();
      long next = nextOffsets.getOrDefault(direction, engines.get(from).state().logOffset());
      AppendRequest request = engines.get(from).entriesAfter(next, 0, 0, 1 + random.nextInt(3));
      AppendReply reply = engines.get(to).append(request, 0);
      boolean replyArrives = random.nextInt(10) > 0;
      if (!reply.stale() && replyArrives) {
        nextOffsets.put(direction, Replication.nextOffset(request, reply));
      }
    }

    /**
     * Records the writes that may be acknowledged by the rule of section 4 of the design: a
     * majority of the databases holds the position of the write in its term, and none of that
     * majority is fenced at a newer term.
     */
    private void recordAcknowledgements() {
      writePositions.forEach(
          (write, position) -> {
            long holders =
                engines.stream()
                    .map(DatabaseEngine::state)
                    .filter(s -> s.logTerm() == position.term())
                    .filter(s -> s.logOffset() >= position.offset())
                    .filter(s -> s.fencedTerm() <= position.term())
                    .count();
            if (2 * holders > engines.size()) {
              acknowledged.add(Integer.toString(write));
            }
          });
    }

    private void fence(int reached) {
      term++;
      promoted = false;
      List<DatabaseEngine> targets = new ArrayList<>(engines);
      Collections.shuffle(targets, random);
      targets.subList(0, reached).forEach(engine -> engine.fence(term));
    }

    private void promote() {
      List<DatabaseEngine> fenced =
          engines.stream().filter(e -> e.state().fencedTerm() == term).toList();
      if (!promoted && 2 * fenced.size() > engines.size()) {
        Comparator<DatabaseEngine> byPosition = Comparator.comparing(e -> e.state().position());
        promoted = fenced.stream().max(byPosition).orElseThrow().promote(term);
      }
    }

    /**
     * Fences all databases at a new term, promotes the most advanced one and replicates until all
     * logs end at the same position.
     */
    void converge() throws InterruptedException {
      fence(engines.size());
      promote();
      assertTrue(promoted);
      for (int round = 0; round < 2000; round++) {
        replicate(random.nextInt(engines.size()), random.nextInt(engines.size()));
      }
      int leader = 0;
      while (engines.get(leader).primaryTerm().filter(led -> led == term).isEmpty()) {
        leader++;
      }
      Position end = engines.get(leader).state().position();
      for (int i = 0; i < engines.size(); i++) {
        while (!engines.get(i).state().position().equals(end)) {
          replicate(leader, i);
        }
      }
    }

    void verify() throws SqlException {
      String expected = null;
      for (DatabaseEngine engine : engines) {
        TreeSet<String> found = new TreeSet<>();
        engine
            .execute(
                engine.begin(true),
                SqlParser.parse("SELECT key FROM pollenspar.keys").get(0).statement(),
                "")
            .rows()
            .forEach(row -> found.add(row.get(0)));
        assertTrue(found.containsAll(acknowledged), "acknowledged writes are missing");
        expected = expected == null ? found.toString() : expected;
        assertEquals(expected, found.toString());
      }
    }
  }
}
