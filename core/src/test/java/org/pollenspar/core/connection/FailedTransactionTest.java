package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.PreparedShape;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;

/**
 * Guards against statements that run with values or prepared statements of another session, because
 * the database has undone those that were restored in a transaction which it ended by itself.
 */
class FailedTransactionTest {
  private static final SessionStatement BEGIN = new SessionStatement.Begin(false);
  private static final SessionStatement COMMIT = new SessionStatement.Commit();
  private static final SessionStatement READ = new SessionStatement.Read("READ 1");
  private static final SessionStatement SET = new SessionStatement.SetValue("city", "Bilbao");
  private static final SessionStatement EXECUTE = new SessionStatement.Execute("s1", "1 x");
  private final SessionFixture fixture = new SessionFixture(2);
  private final SessionFixture.Caller first = fixture.caller("till");
  private final SessionFixture.Caller second = fixture.caller("till");
  private boolean failing;

  /** The statement that the database fails; the transaction is over then. */
  private enum Failed {
    WRITE,
    COMMIT;

    boolean matches(SessionStatement statement) {
      return this == COMMIT
          ? statement instanceof SessionStatement.Commit
          : statement instanceof SessionStatement.Write;
    }
  }

  private void failOnce(Failed failed) {
    failing = true;
    fixture.databases.script(
        received -> {
          boolean fails =
              failing
                  && received.command() instanceof DatabaseCommand.Forward forward
                  && failed.matches(forward.statement());
          failing &= !fails;
          return fails ? Answer.error(AnswerCode.FAILED, "", TransactionState.IDLE) : null;
        });
  }

  /** Sends a statement and returns its answer, in less time than a confirmation lasts. */
  private Answer ask(SessionFixture.Caller caller, SessionStatement statement) {
    caller.send(statement);
    fixture.time.advance(50);
    return caller.answers.get(caller.answers.size() - 1);
  }

  private static SessionStatement write(String item) {
    return new SessionStatement.Write("WRITE " + item + " data");
  }

  /** Returns the commands after the last statement of the failed transaction. */
  private List<DatabaseCommand> commandsOf(Runnable statements) {
    int before = fixture.databases.commands("p").size();
    statements.run();
    List<DatabaseCommand> commands = fixture.databases.commands("p");
    return commands.subList(before, commands.size());
  }

  @Nested
  class ValuesSetInside {
    @BeforeEach
    void beginAndSet() {
      ask(first, BEGIN);
      ask(first, write("1"));
      ask(first, SET);
      ask(second, SET);
    }

    @ParameterizedTest
    @EnumSource(Failed.class)
    void areRestoredForTheNextSession(Failed failed) {
      failOnce(failed);
      Answer last = failed == Failed.COMMIT ? writeAndCommit() : ask(first, write("2"));
      assertFalse(last.ok());
      List<DatabaseCommand> commands = commandsOf(() -> ask(second, READ));
      assertTrue(commands.get(0) instanceof DatabaseCommand.Reset, commands.toString());
      assertEquals(new DatabaseCommand.SetValue("city", "Bilbao"), commands.get(1));
    }

    @Test
    void areKeptByACommitThatSucceeds() {
      assertTrue(writeAndCommit().ok());
      assertEquals(1, commandsOf(() -> ask(second, READ)).size());
    }

    private Answer writeAndCommit() {
      ask(first, write("2"));
      return ask(first, COMMIT);
    }
  }

  @Test
  void valuesSetBeforeTheTransactionAreKept() {
    ask(first, SET);
    ask(second, SET);
    ask(first, BEGIN);
    ask(first, write("1"));
    failOnce(Failed.COMMIT);
    assertFalse(ask(first, COMMIT).ok());
    assertEquals(1, commandsOf(() -> ask(second, READ)).size());
  }

  @Test
  void aStatementPreparedInsideIsPreparedAgain() {
    ask(first, new SessionStatement.Prepare("s1", new PreparedShape(true, "alpha")));
    ask(first, BEGIN);
    ask(first, write("1"));
    ask(first, EXECUTE);
    failOnce(Failed.COMMIT);
    assertFalse(ask(first, COMMIT).ok());
    List<DatabaseCommand> commands = commandsOf(() -> ask(first, EXECUTE));
    assertTrue(
        commands.stream().anyMatch(DatabaseCommand.Prepare.class::isInstance), commands.toString());
  }

  @Test
  void aStatementThatTheDatabaseDoesNotKnowIsPreparedAgain() {
    ask(first, new SessionStatement.Prepare("s1", new PreparedShape(true, "alpha")));
    ask(first, EXECUTE);
    ask(first, BEGIN);
    ask(first, write("1"));
    fixture.databases.script(
        received ->
            received.command() instanceof DatabaseCommand.Forward
                ? Answer.error(AnswerCode.NO_SUCH_STATEMENT, "", TransactionState.FAILED)
                : null);
    assertEquals(AnswerCode.NO_SUCH_STATEMENT, ask(first, EXECUTE).code());
    ask(first, new SessionStatement.Rollback());
    fixture.databases.script(received -> null);
    List<DatabaseCommand> commands = commandsOf(() -> ask(first, EXECUTE));
    assertTrue(
        commands.stream().anyMatch(DatabaseCommand.Prepare.class::isInstance), commands.toString());
  }
}
