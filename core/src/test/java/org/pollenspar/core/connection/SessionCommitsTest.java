package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;

/**
 * Guards against reads that lack the session's own commit because the database acknowledged it with
 * an answer from which the position of the commit can't be taken.
 */
class SessionCommitsTest {
  private static final SessionStatement READ = new SessionStatement.Read("READ 1");
  private static final SessionStatement WRITE = new SessionStatement.Write("WRITE 1 x");

  /** What an answer to a commit states, when 1.101 was known before the commit was sent. */
  enum Stated {
    NOTHING(null),
    KNOWN_BEFORE(new Position(1, 101)),
    EARLIER_POSITION(new Position(1, 100)),
    EARLIER_TERM(new Position(0, 102));

    final @Nullable Position position;

    Stated(@Nullable Position position) {
      this.position = position;
    }

    /** Answers commits of writes; returns null for all other commands. */
    @Nullable Answer answer(ScriptedDatabases.ReceivedCommand received) {
      boolean commits =
          received.command() instanceof DatabaseCommand.Forward forward
              && received.database().equals("p")
              && (forward.statement() instanceof SessionStatement.Commit
                  || forward.statement() instanceof SessionStatement.Write);
      TransactionState state =
          received.command() instanceof DatabaseCommand.Forward forward
                  && forward.id().startsWith("t")
              ? TransactionState.OPEN
              : TransactionState.IDLE;
      return commits ? new Answer(AnswerCode.OK, List.of(), "signature", state, position) : null;
    }
  }

  @Nested
  class AtThisHost {
    private final SessionFixture fixture = new SessionFixture(5);
    private final SessionFixture.Caller caller = fixture.caller("own");

    @BeforeEach
    void readOnce() {
      caller.read("1");
    }

    private void send(SessionStatement statement) {
      caller.send(statement);
      fixture.time.advance(20);
    }

    private void commitAtKnownPosition() {
      fixture.databases.positions.put("p", new Position(1, 101));
      send(WRITE);
      send(READ);
    }

    private int readsAtReplica() {
      return fixture.databases.commands("r1").size();
    }

    private void assertReadsAtPrimaryUntilItStates(long offset) {
      int before = readsAtReplica();
      send(new SessionStatement.Begin(true));
      send(READ);
      send(new SessionStatement.Rollback());
      send(READ);
      assertEquals(before, readsAtReplica());
      fixture.databases.positions.put("p", new Position(1, offset));
      send(READ);
      assertEquals(before, readsAtReplica());
      send(READ);
      assertEquals(before + 1, readsAtReplica());
      DatabaseCommand.Forward last =
          (DatabaseCommand.Forward) fixture.databases.commands("r1").get(before);
      assertEquals(new Position(1, offset), last.after());
    }

    @ParameterizedTest
    @EnumSource
    void readsAfterAWriteRunAtThePrimary(Stated stated) {
      commitAtKnownPosition();
      fixture.databases.script(stated::answer);
      send(WRITE);
      assertReadsAtPrimaryUntilItStates(102);
    }

    @ParameterizedTest
    @EnumSource
    void readsAfterATransactionRunAtThePrimary(Stated stated) {
      commitAtKnownPosition();
      send(new SessionStatement.Begin(false));
      send(WRITE);
      fixture.databases.script(stated::answer);
      send(new SessionStatement.Commit());
      assertReadsAtPrimaryUntilItStates(102);
    }

    /** Guards against an unknown commit in one group that is forgotten when the route moves. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void unknownCommitsCountInTheirOwnGroupOnly(boolean moves) {
      fixture.databases.positions.put("q", new Position(1, 300));
      fixture.databases.script(Stated.NOTHING::answer);
      send(WRITE);
      if (moves) {
        fixture.moveToSecondGroup("own");
        send(READ);
        int before = fixture.databases.commands("s1").size();
        send(READ);
        assertEquals(before + 1, fixture.databases.commands("s1").size());
      } else {
        int before = readsAtReplica();
        send(READ);
        assertEquals(before, readsAtReplica());
      }
    }
  }

  @Nested
  class AtAHomeHost {
    private ScriptedDatabases databases;
    private final ForwardingFixture fixture =
        new ForwardingFixture(
            time -> {
              databases = new ScriptedDatabases(time, 5);
              return databases;
            },
            List.of(SessionFixture.entry("p", "a", true), SessionFixture.entry("r1", "a", false)),
            ForwardingFixture.routesOfEachKind());

    @ParameterizedTest
    @EnumSource
    void readsAfterAWriteRunAtThePrimary(Stated stated) {
      databases.positions.put("p", new Position(1, 101));
      databases.positions.put("r1", new Position(1, 100));
      ForwardingFixture.HostUnderTest entry = fixture.add("entry", "a");
      ForwardingFixture.HostUnderTest home = fixture.add("home", "a");
      fixture.assign(new HomeAssignment(List.of(home.self), 2));
      var caller = entry.caller("own");
      caller.read("1");
      caller.ask(READ, 40);
      databases.script(stated::answer);
      assertEquals(AnswerCode.OK, caller.ask(WRITE, 40).code());
      int before = databases.commands("r1").size();
      databases.positions.put("p", new Position(1, 102));
      caller.ask(READ, 40);
      assertEquals(before, databases.commands("r1").size());
      caller.ask(READ, 40);
      assertEquals(before + 1, databases.commands("r1").size());
    }
  }
}
