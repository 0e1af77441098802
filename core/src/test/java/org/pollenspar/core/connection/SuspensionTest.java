package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenspar.core.process.FakeTime;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.SessionStatement;

/**
 * Guards against reads older than their bound after a host was suspended. The steady clock stands
 * still meanwhile, so a position that was read before the suspension looks as recent as before.
 *
 * <p>The suspension is longer than the bound of the route "old" (1.5 s) and shorter than a
 * confirmation holds (6 s), so the primary stays usable.
 */
class SuspensionTest {
  private static final long SUSPENSION_MS = 3_000;
  private static final SessionStatement READ = new SessionStatement.Read("READ 1");
  private static final SessionRequest BEGIN =
      new SessionRequest("b", new SessionStatement.Begin(true), 0);
  private static final Position OLD_END = new Position(1, 100);
  private static final Position NEW_END = new Position(1, 150);

  /** Returns whether a replica was asked for nothing later than the end before the suspension. */
  private static boolean replicaAskedForOldEnd(ScriptedDatabases databases, int since) {
    return databases.received.subList(since, databases.received.size()).stream()
        .filter(each -> !each.database().equals("p"))
        .anyMatch(each -> OLD_END.equals(required(each.command())));
  }

  private static Position required(DatabaseCommand command) {
    if (command instanceof DatabaseCommand.Begin begin) {
      return begin.after();
    }
    return command instanceof DatabaseCommand.Forward forward ? forward.after() : null;
  }

  /** Suspends the host once, when the answer to the first matching command of a replica is due. */
  private static void suspendDuring(
      ScriptedDatabases databases, FakeTime time, Class<? extends DatabaseCommand> type) {
    boolean[] done = {false};
    databases.script(
        received -> {
          if (!done[0] && !received.database().equals("p") && type.isInstance(received.command())) {
            done[0] = true;
            time.stepWall(SUSPENSION_MS);
          }
          return null;
        });
  }

  @Nested
  class OwnDatabases {
    private final SessionFixture fixture = new SessionFixture(5);
    private final SessionFixture.Caller caller = fixture.caller("old");
    private int before;

    private void learnPositionAndSuspend() {
      caller.read("1");
      before = fixture.databases.received.size();
      fixture.time.stepWall(SUSPENSION_MS);
      fixture.databases.positions.put("p", NEW_END);
    }

    @Test
    void readUsesNoPositionFromBeforeTheSuspension() {
      learnPositionAndSuspend();
      assertEquals(AnswerCode.OK, caller.read("2").code());
      assertFalse(replicaAskedForOldEnd(fixture.databases, before));
    }

    @Test
    void transactionUsesNoPositionFromBeforeTheSuspension() {
      learnPositionAndSuspend();
      caller.session.receive(BEGIN);
      assertEquals(AnswerCode.OK, caller.ask(READ).code());
      assertFalse(replicaAskedForOldEnd(fixture.databases, before));
    }

    /** Guards against positions that stay unusable after the clock was set forward or back. */
    @Test
    void replicasServeReadsAgainFromTheNextSampleOn() {
      for (long step : new long[] {3_600_000, -3_600_000, SUSPENSION_MS}) {
        fixture.time.stepWall(step);
        fixture.confirmation.renewed(fixture.confirmation.now());
        caller.read("1");
        int replicaReads = fixture.databases.commands("r1").size();
        assertEquals(AnswerCode.OK, caller.read("2").code());
        assertEquals(replicaReads + 1, fixture.databases.commands("r1").size());
      }
    }

    @ParameterizedTest
    @ValueSource(classes = {DatabaseCommand.Begin.class, DatabaseCommand.Forward.class})
    void transactionIsAbortedIfTheHostWasSuspended(Class<? extends DatabaseCommand> during) {
      caller.read("1");
      suspendDuring(fixture.databases, fixture.time, during);
      caller.session.receive(BEGIN);
      assertEquals(AnswerCode.ABORTED, caller.ask(READ).code());
    }

    /** The timer that ends idle transactions stands still as well. */
    @Test
    void transactionIsAbortedIfTheHostWasSuspendedBetweenItsStatements() {
      caller.read("1");
      caller.session.receive(BEGIN);
      assertEquals(AnswerCode.OK, caller.ask(READ).code());
      fixture.time.stepWall(SUSPENSION_MS);
      assertEquals(AnswerCode.ABORTED, caller.ask(READ).code());
    }
  }

  @Nested
  class Forwarded {
    private ScriptedDatabases databases;
    private final ForwardingFixture fixture =
        new ForwardingFixture(
            time -> {
              databases = new ScriptedDatabases(time, 5);
              return databases;
            },
            List.of(
                SessionFixture.entry("p", "b", true),
                SessionFixture.entry("r1", "a", false),
                SessionFixture.entry("r2", "b", false)),
            ForwardingFixture.routesOfEachKind());
    private final ForwardingFixture.HostUnderTest entry = fixture.add("entry", "a");
    private final ForwardingFixture.Caller caller = entry.caller("old");

    Forwarded() {
      List.of("p", "r1", "r2").forEach(id -> databases.positions.put(id, OLD_END));
      fixture.assign(new HomeAssignment(List.of(fixture.add("home", "a").self), 2));
    }

    @Test
    void readUsesNoPositionFromBeforeTheSuspensionOfTheHome() {
      caller.read("1");
      final int before = databases.received.size();
      fixture.time.stepWall(SUSPENSION_MS);
      databases.positions.put("p", NEW_END);
      assertEquals(AnswerCode.OK, caller.read("2").code());
      assertFalse(replicaAskedForOldEnd(databases, before));
    }

    @Test
    void transactionUsesNoPositionFromBeforeTheSuspensionOfTheHome() {
      caller.read("1");
      final int before = databases.received.size();
      fixture.time.stepWall(SUSPENSION_MS);
      databases.positions.put("p", NEW_END);
      caller.session.receive(BEGIN);
      assertEquals(AnswerCode.OK, caller.ask(READ).code());
      assertFalse(replicaAskedForOldEnd(databases, before));
    }
  }
}
