package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.Confirmation;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;

/** Guards the promises that a session makes, with databases that fail at each step. */
class CallerSessionTest {
  private final SessionFixture fixture = new SessionFixture(5);

  private static Answer error(AnswerCode code, TransactionState state) {
    return Answer.error(code, "scripted", state);
  }

  private static boolean isCommit(ScriptedDatabases.Seen seen) {
    return seen.command() instanceof DatabaseCommand.Forward forward
        && forward.statement() instanceof SessionStatement.Commit;
  }

  private static boolean isForward(ScriptedDatabases.Seen seen) {
    return seen.command() instanceof DatabaseCommand.Forward && !isCommit(seen);
  }

  @Nested
  class OutOfOrder {

    @Test
    void endWithoutTransactionIsMalformed() {
      var caller = fixture.caller("till");
      assertEquals(AnswerCode.MALFORMED, caller.commit().code());
      assertEquals(AnswerCode.MALFORMED, caller.ask(new SessionStatement.Rollback()).code());
      assertEquals(AnswerCode.OK, caller.read("1").code());
    }

    @Test
    void unknownPreparedNameRunsNothing() {
      var caller = fixture.caller("till");
      Answer answer = caller.ask(new SessionStatement.Execute("s1", "1"));
      assertEquals(AnswerCode.NO_SUCH_STATEMENT, answer.code());
      assertTrue(fixture.databases.seen.isEmpty());
    }

    @Test
    void pipelinedStatementsAreAnsweredInOrderUpToTheLimit() {
      var caller = fixture.caller("till");
      int accepted = 0;
      while (caller.send(new SessionStatement.Read("READ " + accepted))) {
        accepted++;
      }
      assertEquals(CallerSession.PIPELINE_LIMIT + 1, accepted);
      fixture.time.advance(5_000);
      assertEquals(accepted, caller.answers.size());
      List<String> ids =
          fixture.databases.commands("p").stream()
              .map(command -> ((DatabaseCommand.Forward) command).id())
              .toList();
      for (int i = 0; i < ids.size(); i++) {
        assertEquals("q" + i, ids.get(i));
      }
    }

    @Test
    void routeThatWasRemovedIsRefused() {
      var caller = fixture.caller("gone");
      assertEquals(AnswerCode.UNKNOWN_DATABASE, caller.read("1").code());
      assertEquals(AnswerCode.UNKNOWN_DATABASE, caller.begin().code());
    }
  }

  @Nested
  class Transactions {

    @Test
    void beginReachesTheDatabaseWithTheFirstStatement() {
      var caller = fixture.caller("till");
      assertEquals(TransactionState.OPEN, caller.begin().state());
      assertTrue(fixture.databases.seen.isEmpty());
      assertEquals(AnswerCode.OK, caller.write("1").code());
      Answer commit = caller.commit();
      assertEquals("signature", commit.detail());
      assertEquals(TransactionState.IDLE, commit.state());
      assertInstanceOf(DatabaseCommand.Begin.class, fixture.databases.seen.get(0).command());
      assertEquals(1, fixture.databases.connections.size());
    }

    @Test
    void lostConnectionBeforeCommitIsAPromiseThatNothingIsKept() {
      var caller = fixture.caller("till");
      fixture.databases.script(
          seen -> isForward(seen) ? error(AnswerCode.LOST, TransactionState.IDLE) : null);
      caller.begin();
      Answer answer = caller.write("1");
      assertEquals(AnswerCode.ABORTED, answer.code());
      assertEquals(TransactionState.FAILED, answer.state());
      assertEquals(AnswerCode.MALFORMED, caller.read("1").code());
      assertEquals(AnswerCode.ABORTED, caller.commit().code());
      assertEquals(AnswerCode.OK, caller.ask(new SessionStatement.SetValue("a", "1")).code());
    }

    @Test
    void commitWithoutAnswerIsInDoubt() {
      var caller = fixture.caller("till");
      fixture.databases.script(
          seen -> isCommit(seen) ? error(AnswerCode.LOST, TransactionState.IDLE) : null);
      caller.begin();
      caller.write("1");
      assertEquals(AnswerCode.IN_DOUBT, caller.commit().code());
    }

    @Test
    void callerThatLeavesIsRolledBack() {
      var caller = fixture.caller("till");
      caller.begin();
      caller.write("1");
      caller.session.callerDisconnected();
      fixture.time.advance(100);
      assertInstanceOf(
          DatabaseCommand.Rollback.class,
          fixture.databases.seen.get(fixture.databases.seen.size() - 1).command());
      assertTrue(caller.session.idle() || caller.answers.size() == 2);
    }

    @Test
    void idleTransactionIsRolledBackAndItsNextStatementRefused() {
      var caller = fixture.caller("till");
      caller.begin();
      caller.write("1");
      fixture.time.advance(4_000);
      Answer answer = caller.commit();
      assertEquals(AnswerCode.ABORTED, answer.code());
      assertFalse(fixture.databases.seen.stream().anyMatch(CallerSessionTest::isCommit));
    }

    @Test
    void failedStatementFailsTheTransaction() {
      var caller = fixture.caller("till");
      fixture.databases.script(
          seen -> isForward(seen) ? error(AnswerCode.FAILED, TransactionState.FAILED) : null);
      caller.begin();
      Answer answer = caller.write("1");
      assertEquals(AnswerCode.FAILED, answer.code());
      assertEquals(TransactionState.FAILED, answer.state());
    }
  }

  @Nested
  class Writes {

    @Test
    void areNotRepeatedWithoutAnswer() {
      fixture.databases.script(
          seen -> isForward(seen) ? error(AnswerCode.LOST, TransactionState.IDLE) : null);
      assertEquals(AnswerCode.IN_DOUBT, fixture.caller("till").write("1").code());
      assertEquals(1, fixture.databases.seen.size());
    }

    @Test
    void timeOutAtTheLimitOfTheRoute() {
      var caller = fixture.caller("till");
      fixture.databases.silent.add("p");
      Answer answer = caller.write("1");
      assertEquals(AnswerCode.TIMED_OUT, answer.code());
    }

    @Test
    void areRefusedWithoutProofThatThePrimaryStands() {
      fixture.time.advance(Confirmation.VALID_MS);
      assertEquals(AnswerCode.BUSY, fixture.caller("till").write("1").code());
      assertTrue(fixture.databases.seen.isEmpty());
    }

    @Test
    void areReportedWhileTheHostHasNotLetGo() {
      var caller = fixture.caller("till");
      caller.send(new SessionStatement.Write("WRITE 1 x"));
      fixture.time.advance(2);
      boolean[] released = {false};
      fixture.authority.revoke(SessionFixture.GROUP, 11);
      fixture.authority.whenWritesFinished(SessionFixture.GROUP, () -> released[0] = true);
      assertFalse(released[0]);
      fixture.time.advance(10);
      assertTrue(released[0]);
      assertEquals(AnswerCode.OK, caller.answers.get(0).code());
    }

    @Test
    void areInDoubtOnceTheHostHasLetGo() {
      var caller = fixture.caller("till");
      caller.send(new SessionStatement.Write("WRITE 1 x"));
      fixture.time.advance(2);
      fixture.authority.revoke(SessionFixture.GROUP, 11);
      fixture.authority.revocationAcknowledged(SessionFixture.GROUP);
      fixture.time.advance(10);
      assertEquals(AnswerCode.IN_DOUBT, caller.answers.get(0).code());
    }
  }

  @Nested
  class Reads {

    @Test
    void ofThePrimaryAreDroppedIfItWasReplacedMeanwhile() {
      var caller = fixture.caller("till");
      caller.send(new SessionStatement.Read("READ 1"));
      fixture.time.advance(2);
      fixture.authority.revoke(SessionFixture.GROUP, 11);
      fixture.time.advance(1_000);
      assertEquals(AnswerCode.BUSY, caller.answers.get(0).code());
    }

    @Test
    void thatMayBeOldNeedAKnownPositionAndThenUseReplicas() {
      var caller = fixture.caller("old");
      caller.read("1");
      assertEquals(1, fixture.databases.commands("p").size());
      caller.send(new SessionStatement.Read("READ 2"));
      fixture.time.advance(50);
      DatabaseCommand.Forward forward =
          (DatabaseCommand.Forward) fixture.databases.commands("r1").get(0);
      assertEquals(new Position(1, 100), forward.after());
    }

    /** Once, the last attempt's "no database can run this" hid that the primary was overloaded. */
    @Test
    void areRefusedWithTheTimeToReturnOfTheOverloadedDatabase() {
      fixture.databases.unreachable.addAll(List.of("r1", "r2"));
      fixture.router.share(1);
      List<SessionFixture.Caller> callers = new ArrayList<>();
      for (int i = 0; i < 80; i++) {
        callers.add(fixture.caller("old"));
        callers.get(i).send(new SessionStatement.Read("READ 1"));
      }
      fixture.time.advance(2_000);
      List<String> refusals =
          callers.stream()
              .map(caller -> caller.answers.get(0))
              .filter(answer -> answer.code() == AnswerCode.BUSY)
              .map(answer -> answer.detail())
              .toList();
      assertFalse(refusals.isEmpty());
      assertTrue(
          refusals.stream().allMatch(detail -> detail.contains("overloaded; retry in ")),
          refusals.toString());
    }

    @Test
    void seeTheSessionsOwnWrite() {
      var caller = fixture.caller("own");
      caller.read("1");
      fixture.databases.positions.put("p", new Position(1, 101));
      caller.send(new SessionStatement.Write("WRITE 1 x"));
      fixture.time.advance(20);
      caller.send(new SessionStatement.Read("READ 1"));
      fixture.time.advance(20);
      DatabaseCommand.Forward forward =
          (DatabaseCommand.Forward) fixture.databases.commands("r1").get(0);
      assertEquals(new Position(1, 101), forward.after());
    }

    @Test
    void laggingReplicasAreTriedOnceAndThenThePrimary() {
      var caller = fixture.caller("old");
      caller.read("1");
      fixture.databases.script(
          seen ->
              seen.database().startsWith("r")
                  ? error(AnswerCode.LAGGING, TransactionState.IDLE)
                  : null);
      Answer answer = caller.read("2");
      assertEquals(AnswerCode.OK, answer.code());
      assertEquals(2, fixture.databases.commands("p").size());
    }

    @Test
    void areRepeatedElsewhereAfterALostAnswer() {
      var caller = fixture.caller("old");
      caller.read("1");
      fixture.databases.script(
          seen ->
              seen.database().equals("r1") ? error(AnswerCode.LOST, TransactionState.IDLE) : null);
      assertEquals(AnswerCode.OK, caller.read("2").code());
    }

    @Test
    void areDroppedIfTheHostWasSuspended() {
      var caller = fixture.caller("old");
      caller.read("1");
      int[] repeated = {0};
      fixture.databases.script(
          seen -> {
            if (seen.database().equals("r1") && repeated[0]++ == 0) {
              fixture.time.stepWall(3_000);
            }
            return null;
          });
      assertEquals(AnswerCode.OK, caller.read("2").code());
      // Once for the position, once dropped, once repeated.
      assertEquals(3, fixture.databases.seen.size());
      assertEquals(2, repeated[0]);
    }
  }

  @Nested
  class StateRestoration {

    @Test
    void isRestoredOnAnyConnectionAndNotLeakedToOthers() {
      var first = fixture.caller("till");
      var second = fixture.caller("till");
      first.ask(new SessionStatement.SetValue("city", "Bilbao"));
      first.read("1");
      second.read("2");
      first.read("3");
      List<Class<?>> kinds =
          fixture.databases.commands("p").stream().<Class<?>>map(Object::getClass).toList();
      assertEquals(
          List.of(
              DatabaseCommand.SetValue.class,
              DatabaseCommand.Forward.class,
              DatabaseCommand.Reset.class,
              DatabaseCommand.Forward.class,
              DatabaseCommand.SetValue.class,
              DatabaseCommand.Forward.class),
          kinds);
    }

    @Test
    void sameNameOfTwoCallersRunsEachCallersShape() {
      var first = fixture.caller("till");
      var second = fixture.caller("till");
      first.prepare("s1", false, "alpha");
      second.prepare("s1", false, "beta");
      first.ask(new SessionStatement.Execute("s1", "1"));
      second.ask(new SessionStatement.Execute("s1", "1"));
      first.ask(new SessionStatement.Execute("s1", "1"));
      List<String> names =
          fixture.databases.commands("p").stream()
              .filter(DatabaseCommand.Forward.class::isInstance)
              .map(command -> ((DatabaseCommand.Forward) command).preparedAs())
              .toList();
      assertEquals(3, names.size());
      assertEquals(names.get(0), names.get(2));
      assertFalse(names.get(0).equals(names.get(1)));
    }

    @Test
    void preparedInARolledBackTransactionIsPreparedAnew() {
      var caller = fixture.caller("till");
      caller.prepare("s1", true, "alpha");
      caller.begin();
      caller.write("0");
      caller.ask(new SessionStatement.Execute("s1", "1 x"));
      caller.ask(new SessionStatement.Rollback());
      caller.ask(new SessionStatement.Execute("s1", "1 x"));
      long prepared =
          fixture.databases.commands("p").stream()
              .filter(DatabaseCommand.Prepare.class::isInstance)
              .count();
      assertEquals(2, prepared);
    }

    @Test
    void forgottenNameIsPreparedAgain() {
      var caller = fixture.caller("till");
      caller.prepare("s1", false, "alpha");
      int[] calls = {0};
      fixture.databases.script(
          seen ->
              isForward(seen) && calls[0]++ == 0
                  ? error(AnswerCode.NO_SUCH_STATEMENT, TransactionState.IDLE)
                  : null);
      assertEquals(AnswerCode.OK, caller.ask(new SessionStatement.Execute("s1", "1")).code());
      assertEquals(
          2,
          fixture.databases.commands("p").stream()
              .filter(DatabaseCommand.Prepare.class::isInstance)
              .count());
    }
  }

  @Nested
  class Leaving {

    @Test
    void idleSessionsCloseAtOnceAndOthersAfterTheirAnswer() {
      var idle = fixture.caller("till");
      var busy = fixture.caller("till");
      busy.send(new SessionStatement.Read("READ 1"));
      idle.session.closeWhenIdle();
      busy.session.closeWhenIdle();
      assertTrue(idle.closed);
      assertFalse(busy.closed);
      fixture.time.advance(100);
      assertEquals(AnswerCode.OK, busy.answers.get(0).code());
      assertTrue(busy.closed);
    }

    @Test
    void nothingIsAnsweredAfterTheCallerLeft() {
      var caller = fixture.caller("till");
      caller.send(new SessionStatement.Write("WRITE 1 x"));
      caller.session.callerDisconnected();
      fixture.time.advance(1_000);
      assertTrue(caller.answers.isEmpty());
      assertNull(caller.ask(new SessionStatement.Commit()));
    }
  }
}
