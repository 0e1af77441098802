package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionStatement;

/**
 * Guards against statements that wait until their time limit for connections of transactions whose
 * callers pause. The host has two connections to each database.
 */
class PausedTransactionsTest {
  private final SessionFixture fixture = new SessionFixture(3);
  private final List<SessionFixture.Caller> paused = new ArrayList<>();

  private void pauseTransactions(int count) {
    for (int i = 0; i < count; i++) {
      SessionFixture.Caller caller = fixture.caller("till");
      caller.send(new SessionStatement.Begin(false));
      caller.send(new SessionStatement.Write("WRITE 1 x"));
      paused.add(caller);
    }
    fixture.time.advance(50);
  }

  private Answer afterMillis(SessionFixture.Caller caller, long millis) {
    caller.send(new SessionStatement.Read("READ 1"));
    fixture.time.advance(millis);
    assertNotNull(caller.answers.get(0), "answer after " + millis + " ms");
    return caller.answers.get(0);
  }

  @Test
  void aStatementIsRefusedAtOnce() {
    pauseTransactions(2);
    fixture.time.advance(TransactionPause.PAUSED_MS);
    assertEquals(AnswerCode.BUSY, afterMillis(fixture.caller("till"), 0).code());
  }

  @Test
  void aStatementThatWaitsIsRefusedWhenTheyPause() {
    pauseTransactions(2);
    SessionFixture.Caller waiting = fixture.caller("till");
    waiting.send(new SessionStatement.Read("READ 1"));
    assertTrue(waiting.answers.isEmpty());
    fixture.time.advance(TransactionPause.PAUSED_MS);
    assertEquals(AnswerCode.BUSY, waiting.answers.get(0).code());
  }

  @Test
  void oneFreeConnectionServesStatements() {
    pauseTransactions(1);
    fixture.time.advance(TransactionPause.PAUSED_MS);
    assertEquals(AnswerCode.OK, afterMillis(fixture.caller("till"), 100).code());
  }

  @Test
  void aTransactionThatGoesOnKeepsItsConnection() {
    pauseTransactions(2);
    fixture.time.advance(TransactionPause.PAUSED_MS);
    assertEquals(AnswerCode.OK, paused.get(0).commit().code());
    assertEquals(AnswerCode.OK, afterMillis(fixture.caller("till"), 100).code());
  }

  @Test
  void afterTheIdleTimeStatementsAreServed() {
    pauseTransactions(2);
    fixture.time.advance(3_100);
    assertEquals(AnswerCode.OK, afterMillis(fixture.caller("till"), 100).code());
  }

  @Test
  void controlCommandsStillWait() {
    pauseTransactions(2);
    fixture.time.advance(TransactionPause.PAUSED_MS);
    List<Answer> answers = new ArrayList<>();
    ControlCommandRequest.run(
        fixture.router.pool("p"),
        new DatabaseCommand.Status(),
        fixture.time,
        fixture.time,
        answers::add);
    assertTrue(answers.isEmpty());
  }
}
