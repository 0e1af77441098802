package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;

/**
 * Guards against wrong outcomes of statements that a home host runs for another host: a refusal
 * that promises no effect although the statement ran, a statement that runs twice, and a
 * transaction that outlives its caller or continues on another connection.
 */
class ForwardingTest {
  private ScriptedDatabases databases;
  private ForwardingFixture fixture;
  private ForwardingFixture.HostUnderTest entry;
  private ForwardingFixture.HostUnderTest near;
  private ForwardingFixture.HostUnderTest far;

  @BeforeEach
  void start() {
    fixture =
        new ForwardingFixture(
            time -> {
              databases = new ScriptedDatabases(time, 5);
              return databases;
            },
            List.of(
                SessionFixture.entry("p", "a", true),
                SessionFixture.entry("r1", "a", false),
                SessionFixture.entry("r2", "b", false)),
            ForwardingFixture.routesOfEachKind());
    for (String database : List.of("p", "r1", "r2")) {
      databases.positions.put(database, new Position(1, 100));
    }
    entry = fixture.add("entry", "a");
    near = fixture.add("near", "a");
    far = fixture.add("far", "b");
    fixture.assign(new HomeAssignment(List.of(far.self, near.self), 2));
  }

  private List<DatabaseCommand.Forward> forwards() {
    return databases.received.stream()
        .map(ScriptedDatabases.ReceivedCommand::command)
        .filter(DatabaseCommand.Forward.class::isInstance)
        .map(DatabaseCommand.Forward.class::cast)
        .toList();
  }

  private long open() {
    return databases.connections.stream().filter(each -> !each.closed).count();
  }

  @Nested
  class Statements {

    @Test
    void runAtTheHomeOfTheOwnDomainWithIdAndSessionValues() {
      var caller = entry.caller("till");
      caller.ask(new SessionStatement.SetValue("city", "Bilbao"));
      caller.prepare("s1", true, "q2c");
      Answer answer = caller.ask(new SessionStatement.Execute("s1", "1a4 data"));
      assertEquals(AnswerCode.OK, answer.code());
      assertEquals("signature", answer.detail());
      List<DatabaseCommand> commands = databases.commands("p");
      assertTrue(commands.contains(new DatabaseCommand.SetValue("city", "Bilbao")));
      assertEquals(1, forwards().size());
      assertEquals("q2", forwards().get(0).id());
      assertEquals("p0", forwards().get(0).preparedAs());
      assertEquals(0, entry.router.pool("p").connections());
      assertEquals(1, near.router.pool("p").connections());
      assertEquals(0, far.router.pool("p").connections());
    }

    @Test
    void ofASessionIncludeItsLastCommit() {
      databases.positions.put("p", new Position(1, 140));
      var caller = entry.caller("own");
      assertEquals(AnswerCode.OK, caller.write("1").code());
      caller.read("1");
      for (DatabaseCommand.Forward forward : forwards()) {
        if (forward.after() != null) {
          assertTrue(forward.after().offset() >= 140);
        }
      }
    }

    @Test
    void goToAnotherHomeIfOneTakesNoWork() {
      near.accepting = false;
      assertEquals(AnswerCode.OK, entry.caller("till").write("1").code());
      assertEquals(1, forwards().size());
      assertEquals(1, far.router.pool("p").connections());
    }

    @Test
    void goToAnotherHomeIfOneCannotBeReached() {
      entry.unreachable.add(near);
      assertEquals(AnswerCode.OK, entry.caller("till").write("1").code());
      assertEquals(1, forwards().size());
    }

    @Test
    void goToAnotherHomeIfOneCannotReachThePrimary() {
      databases.unreachable.add("p");
      var caller = entry.caller("till");
      Answer answer = caller.ask(new SessionStatement.Write("WRITE 1 x"), 20);
      assertEquals(AnswerCode.BUSY, answer.code());
      assertTrue(forwards().isEmpty());
      // Both homes have tried to connect.
      assertFalse(near.router.pool("p").usable());
      assertFalse(far.router.pool("p").usable());
    }

    @Test
    void areRefusedAtOnceIfNoHomeTakesThem() {
      near.accepting = false;
      far.accepting = false;
      Answer answer = entry.caller("till").ask(new SessionStatement.Write("WRITE 1 x"), 20);
      assertNotNull(answer);
      assertEquals(AnswerCode.BUSY, answer.code());
      assertTrue(answer.detail().contains("retry in"));
      assertTrue(forwards().isEmpty());
    }
  }

  @Nested
  class LostAnswers {

    @Test
    void leaveAWriteInDoubtAndItRunsOnce() {
      var caller = entry.caller("till");
      caller.send("w", new SessionStatement.Write("WRITE 1 x"));
      fixture.time.advance(4);
      near.cutIncoming();
      fixture.time.advance(1_000);
      assertEquals(AnswerCode.IN_DOUBT, caller.answers.get(0).code());
      assertEquals(1, forwards().size());
    }

    @Test
    void letAReadRunAtAnotherHome() {
      var caller = entry.caller("till");
      caller.send("r", new SessionStatement.Read("READ 1"));
      fixture.time.advance(4);
      near.cutIncoming();
      fixture.time.advance(200);
      assertEquals(AnswerCode.OK, caller.answers.get(0).code());
    }

    /** Guards against a grant that the entry host gives back although a read may have run. */
    @Test
    void atADatabaseAreKnownToTheEntryHost() {
      int[] count = {0};
      databases.script(
          each ->
              each.command() instanceof DatabaseCommand.Forward
                  ? Answer.error(
                      count[0]++ == 0 ? AnswerCode.LOST : AnswerCode.LAGGING,
                      "scripted",
                      TransactionState.IDLE)
                  : null);
      Answer answer = entry.caller("old").read("1");
      assertEquals(AnswerCode.BUSY, answer.code());
      assertFalse(answer.nothingRan());
    }

    /** Guards against the same if the answer of one home is lost and another home refuses. */
    @Test
    void ofOneHomeAreKnownWhenAnotherHomeRefuses() {
      far.accepting = false;
      var caller = entry.caller("till");
      caller.send("r", new SessionStatement.Read("READ 1"));
      fixture.time.advance(4);
      near.cutIncoming();
      fixture.time.advance(1_000);
      assertEquals(AnswerCode.BUSY, caller.answers.get(0).code());
      assertFalse(caller.answers.get(0).nothingRan());
    }

    @Test
    void leaveACommitOfWritesInDoubt() {
      var caller = entry.caller("till");
      caller.begin();
      caller.write("1");
      caller.send("c", new SessionStatement.Commit());
      fixture.time.advance(2);
      near.cutIncoming();
      fixture.time.advance(1_000);
      Answer answer = caller.answers.get(caller.answers.size() - 1);
      assertEquals(AnswerCode.IN_DOUBT, answer.code());
      assertEquals(TransactionState.IDLE, answer.state());
    }

    @Test
    void abortATransactionWhoseCommitWasNotSent() {
      var caller = entry.caller("till");
      caller.begin();
      caller.write("1");
      near.cutIncoming();
      fixture.time.advance(50);
      Answer answer = caller.write("2");
      assertEquals(AnswerCode.ABORTED, answer.code());
      assertEquals(AnswerCode.ABORTED, caller.commit().code());
      assertTrue(databases.commands("p").contains(new DatabaseCommand.Rollback()));
      assertEquals(1, forwards().size());
    }

    @Test
    void ofAFrozenHomeDoNotRefuseAWriteThatRunsLater() {
      var caller = entry.caller("till");
      near.frozen = true;
      caller.send("w", new SessionStatement.Write("WRITE 1 x"));
      fixture.time.advance(3_000);
      assertFalse(caller.answers.get(0).code().hadNoEffect());
      near.thaw();
      fixture.time.advance(100);
      assertEquals(AnswerCode.OK, entry.caller("till").write("2").code());
    }
  }

  @Nested
  class Transactions {

    @Test
    void useOneConnectionFromTheFirstStatementToTheEnd() {
      var caller = entry.caller("till");
      caller.begin();
      assertEquals(TransactionState.OPEN, caller.write("1").state());
      fixture.assign(new HomeAssignment(List.of(far.self), 2));
      assertEquals(TransactionState.OPEN, caller.write("2").state());
      assertEquals(AnswerCode.OK, caller.commit().code());
      assertEquals(
          1,
          databases.received.stream()
              .filter(each -> each.command() instanceof DatabaseCommand.Forward)
              .map(ScriptedDatabases.ReceivedCommand::connection)
              .distinct()
              .count());
    }

    @Test
    void areRolledBackAtOnceWhenTheirCallerDisconnects() {
      var caller = entry.caller("till");
      caller.begin();
      caller.write("1");
      caller.session.callerDisconnected();
      fixture.time.advance(20);
      assertTrue(databases.commands("p").contains(new DatabaseCommand.Rollback()));
    }

    @Test
    void areRolledBackWhenTheCallerSaysSo() {
      var caller = entry.caller("till");
      caller.begin();
      caller.write("1");
      assertEquals(AnswerCode.OK, caller.ask(new SessionStatement.Rollback()).code());
      assertTrue(databases.commands("p").contains(new DatabaseCommand.Rollback()));
      assertEquals(AnswerCode.OK, caller.write("2").code());
    }

    @Test
    void whoseCallerRestsTooLongAreAborted() {
      var caller = entry.caller("till");
      caller.begin();
      caller.write("1");
      fixture.time.advance(3_500);
      assertEquals(AnswerCode.ABORTED, caller.commit().code());
      assertEquals(1, forwards().size());
    }

    @Test
    void areNotContinuedByALeavingHomeThatEndedThem() {
      var caller = entry.caller("till");
      caller.begin();
      caller.write("1");
      entry.links.get("near").refuseNewWorkAtHome();
      Answer answer = caller.write("2");
      assertEquals(AnswerCode.ABORTED, answer.code());
      assertEquals(TransactionState.FAILED, answer.state());
      assertEquals(1, forwards().size());
    }

    @Test
    void withoutARunningHomeAreRefusedWithoutEffect() {
      near.accepting = false;
      far.accepting = false;
      var caller = entry.caller("till");
      caller.begin();
      Answer answer = caller.write("1");
      assertEquals(AnswerCode.BUSY, answer.code());
      assertEquals(TransactionState.FAILED, answer.state());
    }
  }

  @Nested
  class Homes {

    @Test
    void thatWereSilentAreUsedAgainOnceTheyAnswer() {
      entry.unreachable.add(near);
      var caller = entry.caller("till");
      caller.write("1");
      caller.write("2");
      assertEquals(0, near.router.pool("p").connections());
      entry.unreachable.clear();
      fixture.time.advance(1_000);
      caller.write("3");
      assertEquals(1, near.router.pool("p").connections());
      assertEquals(3, forwards().size());
    }

    @Test
    void keepTheirConnectionsWithinTheirShare() {
      databases.unresponsive.add("p");
      for (int i = 0; i < 20; i++) {
        entry.caller("till").send("w" + i, new SessionStatement.Write("WRITE 1 x"));
      }
      fixture.time.advance(100);
      assertEquals(2, open());
    }
  }
}
