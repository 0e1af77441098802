package org.pollenspar.proxy.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.pollenspar.proxy.connection.HomeFixture.done;
import static org.pollenspar.proxy.connection.HomeFixture.outcome;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.request.Access;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.WorkKind;

/**
 * Guards against an answer that reaches another request than its own (invariants P3 and P4). This
 * could happen if two requests shared a connection, or if a connection were reused while an answer
 * is outstanding. The tests select distinct rows through relays that alter or stop answers.
 */
class MismatchedAnswersTest {
  private static final int ITEMS = 40;
  private static final long STALENESS_MILLIS = 60_000;
  private static final WorkKind SHORT_READ =
      new WorkKind("read", HomeFixture.URGENT, Access.READ, STALENESS_MILLIS, false, 300);

  private final Map<String, FaultyRelay> relays = new ConcurrentHashMap<>();
  private final HomeFixture fixture =
      new HomeFixture(
          HomePolicy.STANDARD,
          database ->
              relays
                  .computeIfAbsent(database.peer().id(), id -> new FaultyRelay(database.port()))
                  .port());

  @AfterEach
  void close() {
    fixture.close();
    relays.values().forEach(FaultyRelay::close);
    assertEquals(List.of(), List.copyOf(fixture.failures));
  }

  private Position fillItems() {
    List<String> inserts = new ArrayList<>();
    for (int i = 0; i < ITEMS; i++) {
      inserts.add("INSERT INTO stock (item, amount) VALUES ('i" + i + "', " + i + ")");
    }
    return done(fixture.write("items", inserts.toArray(String[]::new))).position().orElseThrow();
  }

  private static String select(int item) {
    return "SELECT amount FROM stock WHERE item = 'i" + item % ITEMS + "'";
  }

  /** Checks the row of a done answer; returns false for a refusal. */
  private static boolean checkAnswer(Outcome outcome, int item) {
    if (!(outcome instanceof Outcome.Done done)) {
      return false;
    }
    assertEquals(Integer.toString(item % ITEMS), done.results().get(0).rows().get(0).get(0));
    return true;
  }

  @Test
  void concurrentRequestsGetTheirOwnAnswers() {
    Position position = fillItems();
    List<CompletableFuture<Optional<Outcome>>> answers = new ArrayList<>();
    for (int i = 0; i < 400; i++) {
      answers.add(fixture.read(STALENESS_MILLIS, position, select(i)));
    }
    for (int i = 0; i < answers.size(); i++) {
      assertTrue(checkAnswer(outcome(answers.get(i)), i));
    }
    assertTrue(fixture.invariants.checks(Invariant.TRANSACTION_ISOLATION) >= 400);
    assertEquals(0, fixture.violations());
  }

  @Test
  void anAnswerWithAnotherNonceIsDiscarded() {
    Position position = fillItems();
    relay("d1").replaceNonces = true;
    for (int i = 0; i < 40; i++) {
      Outcome outcome = outcome(fixture.read(STALENESS_MILLIS, position, select(i)));
      if (checkAnswer(outcome, i)) {
        assertFalse(((Outcome.Done) outcome).servedBy().equals("d1"));
      }
    }
    assertTrue(fixture.invariants.violations(Invariant.ANSWER_MATCHES_REQUEST) > 0);
  }

  @Test
  void requestsEndAlthoughDatabasesStopInTheMiddleOfAnswers() throws InterruptedException {
    Position position = fillItems();
    for (FaultyRelay relay : relays.values()) {
      relay.stalled = true;
    }
    List<CompletableFuture<Optional<Outcome>>> answers = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      answers.add(fixture.submit(SHORT_READ, Optional.empty(), false, position, select(i)));
    }
    for (int i = 0; i < answers.size(); i++) {
      checkAnswer(outcome(answers.get(i)), i);
    }
    for (FaultyRelay relay : relays.values()) {
      relay.stalled = false;
    }
    HomeFixture.await(() -> fixture.report().databases().stream().allMatch(d -> d.usable()));
    for (int i = 0; i < 100; i++) {
      assertTrue(checkAnswer(outcome(fixture.read(STALENESS_MILLIS, position, select(i))), i));
    }
    assertEquals(0, fixture.violations());
  }

  private FaultyRelay relay(String databaseId) {
    return java.util.Objects.requireNonNull(relays.get(databaseId));
  }
}
