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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenspar.core.process.Confirmation;
import org.pollenspar.core.process.PrimaryRecord;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;

/**
 * Guards against sessions that break a guarantee when a database fails, is replaced or doesn't
 * answer: statements that run twice, wrong outcomes of transactions, stale reads, and session state
 * that is lost or visible to other sessions.
 */
class CallerSessionTest {
  private final SessionFixture fixture = new SessionFixture(5);

  private static Answer error(AnswerCode code, TransactionState state) {
    return Answer.error(code, "scripted", state);
  }

  private static boolean isCommit(ScriptedDatabases.ReceivedCommand received) {
    return received.command() instanceof DatabaseCommand.Forward forward
        && forward.statement() instanceof SessionStatement.Commit;
  }

  private static boolean isForward(ScriptedDatabases.ReceivedCommand received) {
    return received.command() instanceof DatabaseCommand.Forward && !isCommit(received);
  }

  @Nested
  class StatementOrder {

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
      assertTrue(fixture.databases.received.isEmpty());
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
      assertTrue(fixture.databases.received.isEmpty());
      assertEquals(AnswerCode.OK, caller.write("1").code());
      Answer commit = caller.commit();
      assertEquals("signature", commit.detail());
      assertEquals(TransactionState.IDLE, commit.state());
      assertInstanceOf(DatabaseCommand.Begin.class, fixture.databases.received.get(0).command());
      assertEquals(1, fixture.databases.connections.size());
    }

    @Test
    void lostConnectionBeforeCommitAbortsTheTransaction() {
      var caller = fixture.caller("till");
      fixture.databases.script(
          received -> isForward(received) ? error(AnswerCode.LOST, TransactionState.IDLE) : null);
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
          received -> isCommit(received) ? error(AnswerCode.LOST, TransactionState.IDLE) : null);
      caller.begin();
      caller.write("1");
      assertEquals(AnswerCode.IN_DOUBT, caller.commit().code());
    }

    @Test
    void transactionOfADisconnectedCallerIsRolledBack() {
      var caller = fixture.caller("till");
      caller.begin();
      caller.write("1");
      caller.session.callerDisconnected();
      fixture.time.advance(100);
      assertInstanceOf(
          DatabaseCommand.Rollback.class,
          fixture.databases.received.get(fixture.databases.received.size() - 1).command());
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
      assertFalse(fixture.databases.received.stream().anyMatch(CallerSessionTest::isCommit));
    }

    @Test
    void failedStatementFailsTheTransaction() {
      var caller = fixture.caller("till");
      fixture.databases.script(
          received ->
              isForward(received) ? error(AnswerCode.FAILED, TransactionState.FAILED) : null);
      caller.begin();
      Answer answer = caller.write("1");
      assertEquals(AnswerCode.FAILED, answer.code());
      assertEquals(TransactionState.FAILED, answer.state());
    }
  }

  @Nested
  class Writes {

    @Test
    void areNotRetriedWithoutAnswer() {
      fixture.databases.script(
          received -> isForward(received) ? error(AnswerCode.LOST, TransactionState.IDLE) : null);
      assertEquals(AnswerCode.IN_DOUBT, fixture.caller("till").write("1").code());
      assertEquals(1, fixture.databases.received.size());
    }

    @Test
    void timeOutAtTheLimitOfTheRoute() {
      var caller = fixture.caller("till");
      fixture.databases.unresponsive.add("p");
      Answer answer = caller.write("1");
      assertEquals(AnswerCode.TIMED_OUT, answer.code());
    }

    @Test
    void areRefusedWithoutAValidConfirmation() {
      fixture.time.advance(Confirmation.VALID_MS);
      assertEquals(AnswerCode.BUSY, fixture.caller("till").write("1").code());
      assertTrue(fixture.databases.received.isEmpty());
    }

    @Test
    void areReportedUntilTheRevocationIsAcknowledged() {
      var caller = fixture.caller("till");
      caller.send(new SessionStatement.Write("WRITE 1 x"));
      fixture.time.advance(2);
      boolean[] writesFinished = {false};
      fixture.authority.revoke(SessionFixture.GROUP, 11);
      fixture.authority.whenWritesFinished(SessionFixture.GROUP, () -> writesFinished[0] = true);
      assertFalse(writesFinished[0]);
      fixture.time.advance(10);
      assertTrue(writesFinished[0]);
      assertEquals(AnswerCode.OK, caller.answers.get(0).code());
    }

    @Test
    void areInDoubtOnceTheRevocationIsAcknowledged() {
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

    /**
     * Guards against stale reads at a primary that was replaced without this host's knowledge: a
     * replica answers a plain read, too.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void ofThePrimaryThatShowsANewerTermAreNotAnswered(boolean inTransaction) {
      var caller = fixture.caller("till");
      assertEquals(AnswerCode.OK, caller.read("1").code());
      fixture.databases.positions.put("p", new Position(2, 101));
      if (inTransaction) {
        caller.ask(new SessionStatement.Begin(true));
      }
      assertFalse(caller.read("1").ok());
    }

    @Test
    void thatMayBeStaleNeedAKnownPositionAndThenUseReplicas() {
      var caller = fixture.caller("old");
      caller.read("1");
      assertEquals(1, fixture.databases.commands("p").size());
      caller.send(new SessionStatement.Read("READ 2"));
      fixture.time.advance(50);
      DatabaseCommand.Forward forward =
          (DatabaseCommand.Forward) fixture.databases.commands("r1").get(0);
      assertEquals(new Position(1, 100), forward.after());
    }

    /**
     * Guards against a refusal that says "no database can run this now" because the last attempt
     * found no database left, although the cause is an overloaded primary. The refusal must state
     * the overload and its retry time.
     */
    @Test
    void areRefusedWithTheRetryTimeOfTheOverloadedDatabase() {
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

    /**
     * Guards against reads that lack the session's own write after its route has moved from a group
     * with a higher term: the commit in the first group hid the one in the second.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void seeTheSessionsOwnWriteAfterTheRouteMovedToAnotherGroup(boolean inTransaction) {
      fixture.authority.update(PrimaryRecord.leading(SessionFixture.GROUP, "p", 3, 1, 11));
      fixture.databases.positions.put("p", new Position(3, 1_203));
      fixture.databases.positions.put("q", new Position(1, 300));
      var caller = fixture.caller("own");
      assertEquals(AnswerCode.OK, caller.write("1").code());
      fixture.moveToSecondGroup("own");
      caller.read("1");
      if (inTransaction) {
        caller.send(new SessionStatement.Begin(false));
        caller.send(new SessionStatement.Write("WRITE 1 x"));
        fixture.time.advance(30);
      }
      // The commit gets the next position, which no earlier answer states.
      fixture.databases.positions.put("q", new Position(1, 301));
      caller.send(
          inTransaction ? new SessionStatement.Commit() : new SessionStatement.Write("WRITE 1 x"));
      fixture.time.advance(30);
      caller.send(new SessionStatement.Read("READ 1"));
      fixture.time.advance(30);
      DatabaseCommand.Forward forward =
          (DatabaseCommand.Forward) fixture.databases.commands("s1").get(0);
      assertEquals(new Position(1, 301), forward.after());
    }

    /** Guards against a stale read at a host whose samples are older than the session's commit. */
    @Test
    void includeACommitOfANewerTermThanTheKnownSamples() {
      fixture.caller("own").read("1");
      Position commit = new Position(2, 101);
      assertEquals(commit, fixture.router.requiredPosition(fixture.routes.route("own"), commit));
    }

    @Test
    void laggingReplicasAreTriedOnceAndThenThePrimary() {
      var caller = fixture.caller("old");
      caller.read("1");
      fixture.databases.script(
          received ->
              received.database().startsWith("r")
                  ? error(AnswerCode.LAGGING, TransactionState.IDLE)
                  : null);
      Answer answer = caller.read("2");
      assertEquals(AnswerCode.OK, answer.code());
      assertEquals(2, fixture.databases.commands("p").size());
    }

    @Test
    void areRetriedElsewhereAfterALostAnswer() {
      var caller = fixture.caller("old");
      caller.read("1");
      fixture.databases.script(
          received ->
              received.database().equals("r1")
                  ? error(AnswerCode.LOST, TransactionState.IDLE)
                  : null);
      assertEquals(AnswerCode.OK, caller.read("2").code());
    }

    @Test
    void areDroppedIfTheHostWasPaused() {
      var caller = fixture.caller("old");
      caller.read("1");
      int[] readsAtReplica = {0};
      fixture.databases.script(
          received -> {
            if (received.database().equals("r1") && readsAtReplica[0]++ == 0) {
              fixture.time.stepWall(3_000);
            }
            return null;
          });
      assertEquals(AnswerCode.OK, caller.read("2").code());
      // One read to learn the position, one that is dropped, and one retry at the primary, as the
      // position is too old by now.
      assertEquals(3, fixture.databases.received.size());
      assertEquals(1, readsAtReplica[0]);
      assertEquals(2, fixture.databases.commands("p").size());
    }
  }

  @Nested
  class StateRestoration {

    @Test
    void isRestoredOnAnyConnectionAndNotLeakedToOtherSessions() {
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
    void sameNameOfTwoCallersRunsEachCallersStatement() {
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
    void statementPreparedInARolledBackTransactionIsPreparedAgain() {
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
    void statementThatTheDatabaseDoesNotKnowIsPreparedAgain() {
      var caller = fixture.caller("till");
      caller.prepare("s1", false, "alpha");
      int[] calls = {0};
      fixture.databases.script(
          received ->
              isForward(received) && calls[0]++ == 0
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
  class Closing {

    @Test
    void idleSessionsCloseAtOnceAndOthersAfterTheirAnswer() {
      var idle = fixture.caller("till");
      fixture.time.advance(300);
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
    void nothingIsAnsweredAfterTheCallerDisconnected() {
      var caller = fixture.caller("till");
      caller.send(new SessionStatement.Write("WRITE 1 x"));
      caller.session.callerDisconnected();
      fixture.time.advance(1_000);
      assertTrue(caller.answers.isEmpty());
      assertNull(caller.ask(new SessionStatement.Commit()));
    }
  }
}
