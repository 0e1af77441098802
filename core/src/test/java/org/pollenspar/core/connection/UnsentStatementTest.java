package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;

/** Guards against wrong outcomes of statements that never reach a database. */
class UnsentStatementTest {
  private final SessionFixture fixture = new SessionFixture(5);

  private boolean commitWasSent() {
    return fixture.databases.received.stream()
        .anyMatch(
            received ->
                received.command() instanceof DatabaseCommand.Forward forward
                    && forward.statement() instanceof SessionStatement.Commit);
  }

  /** Guards against a commit that keeps a transaction without one of its statements. */
  @Test
  void malformedStatementFailsItsTransaction() {
    var caller = fixture.caller("till");
    caller.begin();
    caller.write("1");
    Answer answer = caller.ask(new SessionStatement.Invalid("scripted"));
    assertEquals(AnswerCode.MALFORMED, answer.code());
    assertEquals(TransactionState.FAILED, answer.state());
    assertEquals(AnswerCode.MALFORMED, caller.write("2").code());
    assertEquals(AnswerCode.ABORTED, caller.commit().code());
    assertFalse(commitWasSent());
    assertEquals(AnswerCode.OK, caller.write("3").code());
  }

  /** Guards against writes in doubt that were never sent, after a database has restarted. */
  @Test
  void writeUsesNoConnectionThatTheDatabaseHasClosed() {
    var caller = fixture.caller("till");
    assertEquals(AnswerCode.OK, caller.write("1").code());
    fixture.databases.connections.forEach(connection -> connection.closed = true);
    assertEquals(AnswerCode.OK, caller.write("2").code());
    assertEquals(2, fixture.databases.connections.size());
  }
}
