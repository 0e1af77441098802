package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.pollenspar.core.request.AnswerCode;

/** Guards against wrong outcomes of statements that never reach a database. */
class UnsentStatementTest {
  private final SessionFixture fixture = new SessionFixture(5);

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
