package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.SessionStatement;

/**
 * Guards against sessions of a stopping host that are closed while the caller's next statement is
 * on its way, so that the statement is cut off instead of answered.
 */
class SessionClosingTest {
  private static final SessionStatement READ = new SessionStatement.Read("READ 1");

  private final SessionFixture fixture = new SessionFixture(5);
  private final SessionFixture.Caller caller = fixture.caller("till");

  @Test
  void aSessionThatWasJustOpenedServesItsFirstStatement() {
    fixture.time.advance(10);
    caller.session.closeWhenIdle();
    assertFalse(caller.closed);
    caller.send(READ);
    fixture.time.advance(20);
    assertEquals(AnswerCode.OK, caller.answers.get(0).code());
    assertTrue(caller.closed);
  }

  @Test
  void aSessionThatWasJustAnsweredServesItsNextStatement() {
    fixture.time.advance(1_000);
    caller.send(READ);
    fixture.time.advance(20);
    caller.session.closeWhenIdle();
    assertFalse(caller.closed);
    caller.send(READ);
    fixture.time.advance(20);
    assertEquals(2, caller.answers.size());
    assertTrue(caller.closed);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aSessionWithoutTrafficIsClosedByItself(boolean refusing) {
    if (refusing) {
      caller.session.refuseNewWork();
    } else {
      caller.session.closeWhenIdle();
    }
    fixture.time.advance(299);
    assertFalse(caller.closed);
    fixture.time.advance(2);
    assertTrue(caller.closed);
  }

  @Test
  void aStatementThatCrossesTheRefusalOfNewWorkIsAnswered() {
    caller.session.refuseNewWork();
    caller.send(READ);
    fixture.time.advance(20);
    assertEquals(AnswerCode.BUSY, caller.answers.get(0).code());
    assertTrue(caller.closed);
  }

  @Test
  void aPartOfAStatementKeepsTheSessionOpenForTheRest() {
    fixture.time.advance(1_000);
    caller.send(READ);
    caller.session.closeWhenIdle();
    caller.session.partArrived();
    fixture.time.advance(250);
    assertEquals(1, caller.answers.size());
    assertFalse(caller.closed);
    caller.send(READ);
    fixture.time.advance(20);
    assertEquals(2, caller.answers.size());
    assertTrue(caller.closed);
  }
}
