package org.pollenspar.proxy.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.pollenspar.proxy.connection.HomeFixture.done;
import static org.pollenspar.proxy.connection.HomeFixture.outcome;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.request.Access;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.WorkKind;
import org.pollenspar.standin.process.DatabaseStandin;

/** Tests a home with three database stand-ins over TCP, without forwarding between proxies. */
class GroupHomeTest {
  private static final String DECREMENT =
      "UPDATE stock SET amount = amount - 1 WHERE item = 'book' AND amount >= 1";

  private HomeFixture fixture = new HomeFixture();

  @AfterEach
  void check() {
    fixture.close();
    assertEquals(List.of(), List.copyOf(fixture.failures));
  }

  /**
   * Guards against lost writes, writes that run twice, and acknowledgements of writes that are not
   * durable: after retries, concurrent attempts, lost commit answers and closed connections.
   */
  @Nested
  class Writes {
    @Test
    void aReadOfTheSessionSeesTheWrite() {
      Position position = done(fixture.write("k", DECREMENT)).position().orElseThrow();
      assertEquals("99", fixture.amount(position));
      assertEquals(0, fixture.violations());
    }

    @Test
    void theSameKeyRunsOnce() {
      Outcome.Done first = done(fixture.write("k", DECREMENT));
      Outcome.Done again = done(fixture.write("k", DECREMENT));
      assertEquals(first.results(), again.results());
      assertEquals("99", fixture.amount(again.position().orElseThrow()));
    }

    @Test
    void theSameKeyAtTheSameTimeRunsOnce() {
      List<CompletableFuture<Optional<Outcome>>> answers = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        answers.add(fixture.retry("k", DECREMENT));
      }
      answers.forEach(HomeFixture::outcome);
      Outcome.Done resolved = done(fixture.retry("k", DECREMENT));
      assertEquals("99", fixture.amount(resolved.position().orElseThrow()));
    }

    @Test
    void aKeyOfAnotherRequestIsRefused() {
      done(fixture.write("k", DECREMENT));
      Outcome.NotRun other =
          assertInstanceOf(Outcome.NotRun.class, outcome(fixture.write("k", "DELETE FROM stock")));
      assertEquals(ErrorKind.KEY_REUSED, other.error().kind());
      assertEquals("99", fixture.amount(Position.ZERO));
    }

    @Test
    void anUnexpectedRowCountRollsBackTheWholeTransaction() {
      Outcome.NotRun notRun =
          assertInstanceOf(
              Outcome.NotRun.class,
              outcome(
                  fixture.write(
                      "k", DECREMENT, "UPDATE stock SET amount = 0 WHERE item = 'missing'")));
      assertEquals(ErrorKind.ROW_COUNT_MISMATCH, notRun.error().kind());
      assertEquals("100", fixture.amount(Position.ZERO));
    }

    @Test
    void aRetryThatFailsItsRowCountStopsTheFirstAttemptForGood() {
      String missing = "UPDATE stock SET amount = 0 WHERE item = 'missing'";
      assertInstanceOf(Outcome.NotRun.class, outcome(fixture.retry("k", missing)));
      done(fixture.write("fill-2", "INSERT INTO stock (item, amount) VALUES ('missing', 5)"));
      assertInstanceOf(Outcome.NotRun.class, outcome(fixture.write("k", missing)));
    }

    @Test
    void aStatementThatTheDatabaseRefusesIsNotRun() {
      Outcome.NotRun notRun =
          assertInstanceOf(
              Outcome.NotRun.class,
              outcome(fixture.write("k", DECREMENT, "INSERT INTO nowhere (a) VALUES (1)")));
      assertEquals(ErrorKind.STATEMENT_REFUSED, notRun.error().kind());
      assertEquals("100", fixture.amount(Position.ZERO));
    }

    @Test
    void recordsAreFoundByAgeAndDeletedByKey() {
      String old = "SELECT key FROM pollenspar.keys WHERE created_ms <= 9999999999999 LIMIT 1";
      Outcome.Done found = done(fixture.read(60_000, fixture.filledPosition, old));
      assertEquals(1, found.results().get(0).rows().size());
      String delete = "DELETE FROM pollenspar.keys WHERE key = 'setup'";
      assertEquals(1, done(fixture.write("purge", delete)).results().get(0).updated());
    }

    @Test
    void aLostCommitAnswerIsResolvedByTheKey() {
      fixture.database(0).faults().lostCommitAnswers.set(1);
      Outcome.Done resolved = done(fixture.write("k", DECREMENT));
      assertEquals("99", fixture.amount(resolved.position().orElseThrow()));
    }

    @Test
    void connectionsKilledWithinTransactionsLoseNothing() throws Exception {
      List<CompletableFuture<Optional<Outcome>>> answers = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        answers.add(fixture.write("k" + i, DECREMENT));
        if (i % 10 == 5) {
          fixture.dropConnections(0);
        }
        Thread.sleep(1);
      }
      long done = 0;
      for (int i = 0; i < answers.size(); i++) {
        Outcome outcome = outcome(answers.get(i));
        if (outcome instanceof Outcome.Unknown) {
          outcome = outcome(fixture.retry("k" + i, DECREMENT));
        }
        done += outcome instanceof Outcome.Done ? 1 : 0;
      }
      assertEquals(Long.toString(100 - done), fixture.amount(Position.ZERO));
      assertEquals(0, fixture.violations());
    }
  }

  /**
   * Guards against a write that is acknowledged by a replaced primary (invariant P2). A primary
   * that is cut off from its replicas still commits, but no majority holds the commit.
   */
  @Nested
  class Failover {
    @Test
    void aWriteAtACutOffPrimaryIsRetriedAtTheNewPrimary() throws InterruptedException {
      fixture.database(0).faults().partitioned = true;
      CompletableFuture<Optional<Outcome>> answer = fixture.write("k", DECREMENT);
      HomeFixture.await(() -> fixture.database(0).state().logOffset() > offset(1));
      assertTrue(!answer.isDone(), "acknowledged although no replica holds the write");
      int promoted = fixture.failOver(0, 0, 2);
      Outcome.Done done = done(answer);
      assertEquals("d" + promoted, done.servedBy());
      assertEquals(2, done.position().orElseThrow().term());
      assertEquals("99", fixture.amount(done.position().orElseThrow()));
      assertEquals(0, fixture.violations());
    }

    private long offset(int index) {
      return fixture.database(index).state().logOffset();
    }

    @Test
    void writesContinueAfterAChangeOfThePrimary() {
      done(fixture.write("k1", DECREMENT));
      String promoted = "d" + fixture.failOver(-1, 0, 2);
      Outcome.Done done = done(fixture.write("k2", DECREMENT));
      assertEquals(2, done.position().orElseThrow().term());
      assertEquals(promoted, done.servedBy());
      assertEquals("98", fixture.amount(done.position().orElseThrow()));
      assertTrue(
          fixture.timeline.snapshot().stream()
              .anyMatch(
                  e -> e.kind().equals("primary_changed") && e.detail().contains("in term 2")));
    }
  }

  /**
   * Guards against reads that miss the session's own writes (invariant P1), and against reads that
   * go to the primary although a replica satisfies them.
   */
  @Nested
  class Reads {
    @Test
    void aStaleReadIsServedByAReplica() {
      Outcome.Done done =
          done(fixture.read(60_000, fixture.filledPosition, "SELECT amount FROM stock"));
      assertEquals(DatabaseRole.REPLICA, done.role());
    }

    @Test
    void aLaggingReplicaDoesNotHideTheSessionsWrite() {
      fixture.database(1).faults().lagMillis = 300;
      for (int i = 0; i < 10; i++) {
        Position position = done(fixture.write("k" + i, DECREMENT)).position().orElseThrow();
        Outcome.Done read = done(fixture.read(60_000, position, "SELECT amount FROM stock"));
        assertEquals(Integer.toString(99 - i), read.results().get(0).rows().get(0).get(0));
      }
      assertTrue(fixture.invariants.checks(Invariant.READ_YOUR_WRITES) >= 10);
      assertEquals(0, fixture.violations());
    }
  }

  /** Under overload by reads, every request must get an outcome and urgent writes must be done. */
  @Nested
  class Overload {
    private CompletableFuture<Optional<Outcome>> bulkRead(long stalenessMillis) {
      WorkKind kind =
          new WorkKind("bulk", HomeFixture.BULK, Access.READ, stalenessMillis, true, 2_000);
      String query = "SELECT amount FROM stock WHERE item = 'book'";
      return fixture.submit(kind, Optional.empty(), false, fixture.filledPosition, query);
    }

    @Test
    void urgentWritesAreDoneAndEveryReadEnds() {
      List<CompletableFuture<Optional<Outcome>>> reads = new ArrayList<>();
      List<CompletableFuture<Optional<Outcome>>> writes = new ArrayList<>();
      for (int i = 0; i < 4_000; i++) {
        reads.add(bulkRead(i % 2 == 0 ? 0 : 60_000));
        if (i % 100 == 0) {
          writes.add(fixture.write("k" + i, DECREMENT));
        }
      }
      writes.forEach(HomeFixture::done);
      long done =
          reads.stream().map(HomeFixture::outcome).filter(Outcome.Done.class::isInstance).count();
      assertTrue(done > 0);
      assertEquals("60", fixture.amount(Position.ZERO));
      assertEquals(0, fixture.violations());
    }
  }

  /** Checks that the baseline policy routes reads of sessions with writes to the primary. */
  @Nested
  class Baseline {
    @Test
    void sessionsWithWritesReadAtThePrimary() {
      fixture.close();
      fixture = new HomeFixture(HomePolicy.BASELINE, DatabaseStandin::port);
      Position position = done(fixture.write("k", DECREMENT)).position().orElseThrow();
      String query = "SELECT amount FROM stock WHERE item = 'book'";
      Outcome.Done read = done(fixture.read(60_000, position, query));
      assertEquals(DatabaseRole.PRIMARY, read.role());
      assertEquals("99", read.results().get(0).rows().get(0).get(0));
      Outcome.Done unrelated = done(fixture.read(60_000, Position.ZERO, query));
      assertEquals(DatabaseRole.REPLICA, unrelated.role());
    }
  }

  /** Guards against new requests on a host that is leaving the fleet (invariant P7). */
  @Nested
  class Leaving {
    @Test
    void aLeavingReplicaGetsNoReads() {
      fixture.markLeaving(1);
      for (int i = 0; i < 30; i++) {
        Outcome.Done done =
            done(fixture.read(60_000, fixture.filledPosition, "SELECT amount FROM stock"));
        assertEquals("d2", done.servedBy());
      }
      assertEquals(0, fixture.violations());
    }

    @Test
    void aLeavingPrimaryGetsNoWrites() {
      fixture.markLeaving(0);
      CompletableFuture<Optional<Outcome>> answer = fixture.write("k", DECREMENT);
      String promoted = "d" + fixture.failOver(-1, 0, 2);
      assertEquals(promoted, done(answer).servedBy());
      assertEquals(0, fixture.violations());
    }
  }

  /**
   * Guards against requests that hang, wrong answers, and writes that are lost or run twice when a
   * database breaks the protocol.
   */
  @Nested
  class Faults {
    @Test
    void malformedAndTruncatedAnswersAreNotReturned() {
      for (int i = 0; i < 30; i++) {
        DatabaseStandin replica = fixture.database(1 + i % 2);
        replica.faults().garbageAnswers.set(i % 3);
        replica.faults().truncatedAnswers.set(i % 2);
        Outcome outcome =
            outcome(fixture.read(60_000, fixture.filledPosition, "SELECT amount FROM stock"));
        if (outcome instanceof Outcome.Done done) {
          assertEquals("100", done.results().get(0).rows().get(0).get(0));
        }
      }
    }

    @Test
    void aWriteRunsOnceDespiteMalformedAnswersOfThePrimary() {
      fixture.database(0).faults().garbageAnswers.set(2);
      Outcome outcome = outcome(fixture.write("k", DECREMENT));
      Outcome.Done resolved =
          outcome instanceof Outcome.Done done ? done : done(fixture.retry("k", DECREMENT));
      assertEquals("99", fixture.amount(resolved.position().orElseThrow()));
    }
  }

  /** Guards against requests that get no answer when their home is closed. */
  @Nested
  class Closing {
    private static final int ROUNDS = 10;

    /** After a lost connection, a started write waits in the queue behind others. */
    @Test
    void writesThatWaitForAnotherAttemptAreAnswered() throws Exception {
      for (int round = 0; round < ROUNDS; round++) {
        fixture.database(0).faults().latencyMillis = 100;
        List<CompletableFuture<Optional<Outcome>>> answers = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
          answers.add(fixture.write("k" + round + "-" + i, DECREMENT));
        }
        Thread.sleep(50);
        fixture.dropConnections(0);
        Thread.sleep(50 * round);
        fixture.callOnControlThread(fixture.home::close);
        for (CompletableFuture<Optional<Outcome>> answer : answers) {
          answer.orTimeout(30, TimeUnit.SECONDS).join();
        }
        fixture.close();
        fixture = new HomeFixture();
      }
    }
  }
}
