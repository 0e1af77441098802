package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenspar.core.process.Regions;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.RouteKind;

/**
 * Guards against callers that lose time at a database that fails while it is registered as ready,
 * and against databases that are avoided although they aren't worse than the others.
 */
class ReadOutliersTest {
  private static final int WARM_UP_MS = 5_000;

  private static FailingDatabases warmedUp(int hosts, double rate) {
    FailingDatabases databases = new FailingDatabases(hosts);
    databases.applyLoad(WARM_UP_MS, rate);
    databases.resetCounts();
    return databases;
  }

  private static String report(FailingDatabases databases) {
    return "in time %.4f, mean %.1f ms, attempts %.3f, ejections %d, outcomes %s, broken off %d"
        .formatted(
            databases.shareInTime(),
            databases.meanMillis(),
            (double) databases.attempts / databases.offered,
            databases.ejections(),
            databases.outcomes,
            databases.brokenOff);
  }

  /** A database that fails while the others are healthy. */
  @Nested
  class OneFails {
    @ParameterizedTest
    @EnumSource(names = {"ERROR", "CLOSE", "HANG"})
    void twoFifthsOfTheReadsAreAvoided(FailingDatabases.Fault fault) {
      FailingDatabases databases = warmedUp(6, 30);
      databases.fail("r1", 0.4, fault);
      databases.applyLoad(30_000, 30);
      System.out.println("40 % " + fault + ": " + report(databases));
      assertTrue(databases.events.toString().contains("database_ejected r1"));
      assertFalse(databases.events.toString().contains("database_ejected p"));
      assertFalse(databases.events.toString().contains("database_ejected r2"));
    }

    /** Reads move by their expected time; an attempt that is ended meanwhile wastes a slot. */
    @ParameterizedTest
    @ValueSource(doubles = {0.4, 1})
    void slowAnswersAreRarelyWaitedFor(double share) {
      FailingDatabases databases = warmedUp(6, 30);
      databases.fail("r1", share, FailingDatabases.Fault.SLOW);
      databases.applyLoad(30_000, 30);
      System.out.println("8 times as slow " + share + ": " + report(databases));
      assertTrue(databases.shareInTime() > 0.99, report(databases));
      assertTrue(databases.brokenOff < 0.01 * databases.offered, report(databases));
    }

    /** Otherwise each read that isn't answered is held until the time limit of its route. */
    @ParameterizedTest
    @ValueSource(doubles = {3, 30})
    void readsThatAreNotAnsweredRunElsewhere(double rate) {
      FailingDatabases databases = warmedUp(6, rate);
      databases.fail("r1", 0.4, FailingDatabases.Fault.HANG);
      databases.applyLoad(30_000, rate);
      System.out.println("40 % not answered at " + rate + "/s: " + report(databases));
      assertTrue(databases.shareInTime() > 0.97, report(databases));
    }

    @ParameterizedTest
    @ValueSource(doubles = {3, 30})
    void allAnswersAreMissing(double rate) {
      FailingDatabases databases = warmedUp(6, rate);
      databases.fail("r1", 1, FailingDatabases.Fault.HANG);
      databases.applyLoad(30_000, rate);
      System.out.println("none answered at " + rate + "/s: " + report(databases));
      assertTrue(databases.shareInTime() > 0.95, report(databases));
    }

    /** Few reads a second: the window must suit a host that sends one to three to a database. */
    @ParameterizedTest
    @ValueSource(doubles = {1, 3})
    void allReadsFailOnHostWithFewReads(double rate) {
      FailingDatabases databases = warmedUp(1, rate);
      databases.fail("r1", 1, FailingDatabases.Fault.ERROR);
      databases.applyLoad(20_000, rate);
      System.out.println("all fail at " + rate + "/s: " + report(databases));
      assertTrue(databases.ejections() >= 1);
    }

    @Test
    void oneFailureEjectsNothing() {
      FailingDatabases databases = warmedUp(1, 2);
      databases.fail("r1", 1, FailingDatabases.Fault.ERROR);
      int before = databases.servers.get("r1").received;
      while (databases.servers.get("r1").received == before) {
        databases.applyLoad(10, 2);
      }
      databases.fail("r1", 0, FailingDatabases.Fault.ERROR);
      databases.applyLoad(10_000, 2);
      assertEquals(0, databases.ejections());
    }

    /** Connections that are lost together when a database restarts are one failure. */
    @Test
    void oneRestartUnderLoadEjectsNothing() {
      FailingDatabases databases = warmedUp(1, 150);
      databases.down("r1", true);
      databases.applyLoad(500, 150);
      databases.down("r1", false);
      databases.applyLoad(10_000, 150);
      assertEquals(List.of(), databases.events);
    }

    @Test
    void downAndUpEverySecondIsAvoided() {
      FailingDatabases databases = warmedUp(1, 30);
      for (int second = 0; second < 20; second++) {
        databases.down("r1", second % 2 == 0);
        databases.applyLoad(1_000, 30);
      }
      System.out.println("down and up: " + report(databases));
      assertTrue(databases.ejections() >= 1, report(databases));
      assertFalse(databases.events.toString().contains("database_ejected r2"));
    }

    /** A database that stays bad costs callers a few reads after each trial. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void fewReadsReturnToOneThatStillFails(boolean severalRegions) {
      Regions regions = new Regions(Map.of("a", "west", "b", "west", "c", "east"));
      FailingDatabases databases = new FailingDatabases(1, severalRegions ? regions : null);
      databases.applyLoad(WARM_UP_MS, 30);
      databases.fail("r1", 1, FailingDatabases.Fault.ERROR);
      databases.applyLoad(2_000, 30);
      databases.resetCounts();
      databases.applyLoad(60_000, 30);
      // Returns after 5, 10 and 20 s, and two reads that fail in each slow start.
      assertTrue(databases.servers.get("r1").received <= 6, report(databases));
      assertEquals(4, databases.ejections());
      assertEquals(1, databases.shareInTime(), 0.001);
    }

    /** A slow answer of a failing database is better than none. */
    @Test
    void theOnlyOneThatMayAnswerIsUsed() {
      FailingDatabases databases = warmedUp(1, 30);
      databases.fail("r1", 1, FailingDatabases.Fault.ERROR);
      databases.applyLoad(2_000, 30);
      GroupRouter host = databases.hosts.get(0);
      assertTrue(host.outliers().ejected("r1"));
      Set<ConnectionPool> others = Set.of(host.pool("p"), host.pool("r2"));
      GroupRouter.StatementTarget target =
          host.readTarget(FailingDatabases.route(RouteKind.BOUNDED), "", null, others, 0);
      assertEquals("r1", target.pool().entry().id());
    }

    /** Otherwise a replica that was repaired stays without reads, or gets all of them at once. */
    @Test
    void readsReturnGraduallyToOneThatIsGoodAgain() {
      FailingDatabases databases = warmedUp(1, 30);
      databases.fail("r1", 1, FailingDatabases.Fault.ERROR);
      databases.applyLoad(3_000, 30);
      databases.fail("r1", 0, FailingDatabases.Fault.ERROR);
      while (databases.ejectedNow() > 0) {
        databases.applyLoad(10, 30);
      }
      assertTrue(databases.time.steadyNanos() < 14_000_000_000L);
      String restored = databases.events.get(1);
      assertTrue(restored.contains("database_restored r1: group ledger, after "), restored);
      assertTrue(restored.endsWith(" ms and 0 failed trials"), restored);
      databases.resetCounts();
      databases.applyLoad(2_000, 30);
      assertTrue(databases.servers.get("r1").received < databases.offered / 3);
      databases.applyLoad(10_000, 30);
      databases.resetCounts();
      databases.applyLoad(5_000, 30);
      assertTrue(databases.servers.get("r1").received > databases.offered / 2);
    }
  }

  /** Databases that are no worse than the others. */
  @Nested
  class AllAlike {
    /** The host's own link is bad. */
    @ParameterizedTest
    @ValueSource(doubles = {0.2, 0.4, 1})
    void atMostHalfAreEjected(double share) {
      FailingDatabases databases = warmedUp(1, 30);
      for (String id : List.of("p", "r1", "r2")) {
        databases.fail(id, share, FailingDatabases.Fault.ERROR);
      }
      for (int second = 0; second < 30; second++) {
        databases.applyLoad(1_000, 30);
        assertTrue(databases.ejectedNow() <= 1);
      }
      System.out.println("all fail " + share + ": " + report(databases));
    }

    /** 12 slots run 667 reads a second at most. */
    @ParameterizedTest
    @ValueSource(ints = {2, 20, 200})
    void overloadEjectsNothing(int hosts) {
      FailingDatabases databases = warmedUp(hosts, 200.0 / hosts);
      databases.applyLoad(20_000, 1_000.0 / hosts);
      System.out.println("overload of " + hosts + " hosts: " + report(databases));
      assertEquals(0, databases.ejections(), databases.events.toString());
      // Of 20,000 statements, 1 works for more than 11 times the mean, which a limit can't know.
      assertTrue(databases.brokenOff <= 0.0001 * databases.offered, report(databases));
    }

    @Test
    void rareFailuresEjectNothing() {
      FailingDatabases databases = warmedUp(6, 30);
      for (String id : List.of("p", "r1", "r2")) {
        databases.fail(id, 0.01, FailingDatabases.Fault.ERROR);
      }
      databases.applyLoad(60_000, 30);
      assertEquals(0, databases.ejections(), databases.events.toString());
    }
  }

  /** The time limit of an attempt; the time limit of the routes is 800 ms. */
  @Nested
  class Attempts {
    private final SessionFixture fixture = new SessionFixture(20);

    private SessionFixture.Caller hanging(String database, String route) {
      SessionFixture.Caller caller = fixture.caller(route);
      for (int i = 0; i < 15; i++) {
        fixture.confirmation.renewed(fixture.confirmation.now());
        fixture.caller("till").read("x");
        caller.read("x");
      }
      // Reads of replicas need a recent position of the primary.
      fixture.caller("till").read("x");
      fixture.databases.unresponsive.add(database);
      return caller;
    }

    @Test
    void readRunsElsewhere() {
      SessionFixture.Caller caller = hanging("r1", "old");
      int before = caller.answers.size();
      caller.send(new SessionStatement.Read("READ x"));
      fixture.time.advance(300);
      assertTrue(caller.answers.get(before).ok());
      assertTrue(fixture.databases.connections.stream().anyMatch(each -> each.closed));
    }

    /** A read that fails at each database shows nothing about the databases. */
    @Test
    void readThatFailsEverywhereEjectsNothing() {
      fixture.databases.script(
          received ->
              received.command() instanceof DatabaseCommand.Forward forward
                      && forward.statement().equals(new SessionStatement.Read("READ bad"))
                  ? Answer.error(AnswerCode.FAILED, "bad", TransactionState.IDLE)
                  : null);
      SessionFixture.Caller caller = fixture.caller("old");
      for (int i = 0; i < 100; i++) {
        fixture.confirmation.renewed(fixture.confirmation.now());
        fixture.caller("till").send(new SessionStatement.Read("READ x"));
        fixture.time.advance(30);
        caller.send(new SessionStatement.Read(i % 3 == 0 ? "READ bad" : "READ x"));
        fixture.time.advance(70);
      }
      assertEquals(0, fixture.router.ejections());
    }

    /** Whether it ran isn't known, so a write must not be ended, nor may a read elsewhere. */
    @ParameterizedTest
    @ValueSource(strings = {"WRITE x data", "READ x"})
    void statementOfThePrimaryIsNotEnded(String text) {
      SessionFixture.Caller caller = hanging("p", "till");
      int before = caller.answers.size();
      caller.send(
          text.startsWith("WRITE")
              ? new SessionStatement.Write(text)
              : new SessionStatement.Read(text));
      fixture.time.advance(790);
      assertEquals(before, caller.answers.size());
    }

    @Test
    void readOfTransactionIsNotEnded() {
      SessionFixture.Caller caller = hanging("none", "old");
      caller.ask(new SessionStatement.Begin(true));
      fixture.caller("till").read("x");
      caller.read("x");
      fixture.databases.unresponsive.add("r1");
      int before = caller.answers.size();
      caller.send(new SessionStatement.Read("READ x"));
      fixture.time.advance(790);
      assertEquals(before, caller.answers.size());
    }
  }
}
