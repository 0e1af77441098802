package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenspar.core.process.FailoverPolicy.Answer;
import org.pollenspar.core.process.FailoverPolicy.FencedDatabase;
import org.pollenspar.core.process.FailoverPolicy.HomeProxy;
import org.pollenspar.core.process.FailoverPolicy.ReportedDatabase;
import org.pollenspar.core.process.FailoverPolicy.Topology;

/** Guards against promotions without need, too late, twice in a term, or of the wrong database. */
class FailoverPolicyTest {
  private static final long MILLI = 1_000_000;
  private static final long NEVER = 0xffff_ffffL;
  private static final List<HomeProxy> HOMES =
      List.of(new HomeProxy("h1", "d1"), new HomeProxy("h2", "d2"), new HomeProxy("h3", "d3"));

  private final FailoverPolicy policy = new FailoverPolicy();
  private long now = 1000 * MILLI;

  FailoverPolicyTest() {
    topology(0, Set.of());
  }

  private void topology(int order, Set<String> leaving) {
    policy.topology(new Topology(order, HOMES, List.of("a", "b", "c"), leaving));
  }

  /** Reports the ages of the primary a and of the replica b, in milliseconds. */
  private void report(String home, long primaryAge, long replicaAge) {
    policy.report(
        home,
        List.of(
            new ReportedDatabase("a", true, 1, 1, primaryAge),
            new ReportedDatabase("b", false, 1, 1, replicaAge)),
        now);
  }

  private void suspicion() {
    report("h1", 900, 5);
    report("h2", 900, 5);
  }

  private Optional<FailoverAction> tickAfter(long millis) {
    now += millis * MILLI;
    return policy.tick(now);
  }

  private FailoverAction.Fence fence() {
    var lease = (FailoverAction.TakeLease) tickAfter(0).orElseThrow();
    policy.leaseAnswered(lease.id(), Answer.GRANTED, now);
    return (FailoverAction.Fence) tickAfter(0).orElseThrow();
  }

  private static FencedDatabase fenced(String id, long term, long logTerm, long offset) {
    return new FencedDatabase(id, term, logTerm, offset);
  }

  /** Guards against one broken link taken for a dead primary. */
  @Nested
  class Suspicion {
    @ParameterizedTest
    @CsvSource({
      // ages of the primary at h1, h2, h3 (-1: no report), age of the replica, suspected
      "900, 900, 900, 5, true",
      "900, 900, -1, 5, true",
      "900, -1, -1, 5, false",
      "900, 900, 700, 5, false",
      "799, 799, 799, 5, false",
      "900, 900, 900, 900, false",
    })
    void needsTwoDomainsAndNoWitness(long a1, long a2, long a3, long replica, boolean expected) {
      long[] ages = {a1, a2, a3};
      for (int i = 0; i < ages.length; i++) {
        if (ages[i] >= 0) {
          report("h" + (i + 1), ages[i], replica);
        }
      }
      assertEquals(expected, tickAfter(0).isPresent());
    }

    @Test
    void homesThatHaveJustStartedDoNotVote() {
      report("h1", 5, 5);
      policy.topology(new Topology(0, HOMES.subList(1, 3), List.of("a", "b", "c"), Set.of()));
      report("h2", NEVER, 5);
      report("h3", NEVER, 5);
      assertEquals(Optional.empty(), tickAfter(0));
      now += 900 * MILLI;
      report("h2", NEVER, 5);
      report("h3", NEVER, 5);
      assertTrue(tickAfter(0).isPresent());
    }

    @Test
    void oldReportsAreNotUsed() {
      suspicion();
      assertEquals(Optional.empty(), tickAfter(1600));
    }

    @Test
    void twoHomesInOneDomainMustAgree() {
      List<HomeProxy> together = List.of(new HomeProxy("h1", "d"), new HomeProxy("h2", "d"));
      policy.topology(new Topology(0, together, List.of("a", "b", "c"), Set.of()));
      report("h1", 900, 5);
      assertEquals(Optional.empty(), tickAfter(0));
      report("h2", 900, 5);
      assertTrue(tickAfter(0).isPresent());
    }

    /** The fence reached the primary, or only a replica. */
    @ParameterizedTest
    @CsvSource({"2, 2", "2, 1", "1, 2"})
    void aGroupFencedByAnAgentThatDiedIsTakenOver(long primaryFence, long replicaFence) {
      for (int i = 0; i < 3; i++) {
        var fenced =
            List.of(
                new ReportedDatabase("a", true, primaryFence, 1, 5),
                new ReportedDatabase("b", false, replicaFence, 1, 5));
        Stream.of("h1", "h2").forEach(home -> policy.report(home, fenced, now));
        assertEquals(i == 2, tickAfter(0).isPresent(), "round " + i);
        now += 450 * MILLI;
      }
    }
  }

  /** Guards against agents that act at once together, or not at all. */
  @Nested
  class Order {
    @ParameterizedTest
    @CsvSource({"0, 0", "1, 1000", "2, 2000"})
    void delaysTheLaterAgents(int order, long expectedMillis) {
      topology(order, Set.of());
      long waited = 0;
      suspicion();
      while (policy.tick(now).isEmpty()) {
        now += 100 * MILLI;
        waited += 100;
        suspicion();
      }
      assertEquals(expectedMillis, waited);
    }

    @Test
    void pollsFastOnlyWhereNeeded() {
      report("h1", 5, 5);
      assertEquals(200, policy.pollMillis(now));
      topology(1, Set.of());
      assertEquals(1000, policy.pollMillis(now));
      report("h1", 500, 5);
      assertEquals(200, policy.pollMillis(now));
    }
  }

  /** Guards against lost acknowledged writes and double promotions. */
  @Nested
  class Replacement {
    @Test
    void promotesTheMostAdvancedOfAFencedMajority() {
      suspicion();
      FailoverAction.Fence fence = fence();
      assertEquals(2, fence.term());
      var answer = List.of(fenced("b", 2, 1, 10), fenced("c", 2, 1, 12), fenced("a", 1, 1, 99));
      policy.fenceAnswered(fence.id(), Answer.GRANTED, answer, now);
      var promote = (FailoverAction.Promote) tickAfter(0).orElseThrow();
      assertEquals("c at 2", promote.databaseId() + " at " + promote.term());
    }

    @Test
    void doesNotPromoteWithoutAMajority() {
      suspicion();
      FailoverAction.Fence fence = fence();
      policy.fenceAnswered(fence.id(), Answer.GRANTED, List.of(fenced("b", 2, 1, 10)), now);
      assertEquals(Optional.empty(), tickAfter(100));
      suspicion();
      assertTrue(tickAfter(100).orElseThrow() instanceof FailoverAction.TakeLease);
    }

    @Test
    void aLostAnswerIsRepeatedForTheSameDatabaseAndTerm() {
      suspicion();
      FailoverAction.Fence fence = fence();
      var answer = List.of(fenced("b", 2, 1, 10), fenced("c", 2, 1, 10));
      policy.fenceAnswered(fence.id(), Answer.GRANTED, answer, now);
      var first = (FailoverAction.Promote) tickAfter(0).orElseThrow();
      policy.promoteAnswered(first.id(), Answer.UNKNOWN, now);
      var second = (FailoverAction.Promote) tickAfter(200).orElseThrow();
      assertEquals(first.databaseId() + first.term(), second.databaseId() + second.term());
    }

    @Test
    void aLeaseThatDoesNotAnswerCosts300Milliseconds() {
      suspicion();
      assertTrue(tickAfter(0).orElseThrow() instanceof FailoverAction.TakeLease);
      assertEquals(Optional.empty(), tickAfter(299));
      assertTrue(tickAfter(1).orElseThrow() instanceof FailoverAction.Fence);
    }

    @Test
    void aPausedAgentIsRefusedAndLearnsTheTerm() {
      suspicion();
      FailoverAction.Fence fence = fence();
      now += 60_000 * MILLI;
      policy.fenceAnswered(fence.id(), Answer.REFUSED, List.of(), now);
      var read = (FailoverAction.ReadTerm) tickAfter(1000).orElseThrow();
      policy.termAnswered(read.id(), OptionalLong.of(7), now);
      assertEquals(Optional.empty(), tickAfter(0));
      suspicion();
      assertEquals(8, fence().term());
    }

    @Test
    void anAgentPausedAtTheLeaseDoesNotFenceANewPrimary() {
      suspicion();
      var lease = (FailoverAction.TakeLease) tickAfter(0).orElseThrow();
      now += 5000 * MILLI;
      policy.leaseAnswered(lease.id(), Answer.GRANTED, now);
      assertEquals(Optional.empty(), tickAfter(0));
    }

    @Test
    void aPrimaryOnALeavingHostIsReplacedWithoutSuspicion() {
      topology(0, Set.of("a"));
      report("h1", 5, 5);
      FailoverAction.Fence fence = fence();
      var answer = List.of(fenced("a", 2, 1, 10), fenced("b", 2, 1, 10), fenced("c", 2, 1, 9));
      policy.fenceAnswered(fence.id(), Answer.GRANTED, answer, now);
      assertEquals("b", ((FailoverAction.Promote) tickAfter(0).orElseThrow()).databaseId());
    }
  }
}
