package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

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
    @EnumSource(names = {"ERROR", "CLOSE"})
    void twoFifthsOfTheReadsAreAvoided(FailingDatabases.Fault fault) {
      FailingDatabases databases = warmedUp(6, 30);
      databases.fail("r1", 0.4, fault);
      databases.applyLoad(30_000, 30);
      System.out.println("40 % " + fault + ": " + report(databases));
      assertTrue(databases.events.toString().contains("database_ejected r1"));
      assertFalse(databases.events.toString().contains("database_ejected p"));
      assertFalse(databases.events.toString().contains("database_ejected r2"));
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

    /** A database that stays bad costs callers no further reads: only trials reach it. */
    @Test
    void noReadReturnsToOneThatStillFails() {
      FailingDatabases databases = warmedUp(1, 30);
      databases.fail("r1", 1, FailingDatabases.Fault.ERROR);
      databases.applyLoad(2_000, 30);
      databases.resetCounts();
      databases.applyLoad(60_000, 30);
      // After 5, 10, 20 and 40 s; each trial ends with its first read.
      assertTrue(databases.servers.get("r1").received <= 4);
      assertEquals(1, databases.ejections());
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
}
