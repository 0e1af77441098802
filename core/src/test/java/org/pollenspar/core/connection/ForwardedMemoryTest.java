package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionStatement;

/**
 * Guards against a home whose memory is exhausted by statements that other hosts forward to it, and
 * against a refusal of one that may have run.
 */
class ForwardedMemoryTest {
  private static final int LARGE = 1_000_000;
  private static final int CALLERS = 30;

  private ScriptedDatabases databases;
  private final ForwardingFixture fixture =
      new ForwardingFixture(
          time -> {
            databases = new ScriptedDatabases(time, 20);
            return databases;
          },
          List.of(SessionFixture.entry("p", "a", true)),
          ForwardingFixture.routesOfEachKind());
  private final ForwardingFixture.HostUnderTest entry = fixture.add("entry", "a");
  private final ForwardingFixture.HostUnderTest home = fixture.add("home", "a");

  @BeforeEach
  void start() {
    databases.positions.put("p", new Position(1, 100));
    fixture.assign(new HomeAssignment(List.of(home.self), 2));
  }

  @Test
  void statementsAboveThePartOfTheHomeAreRefusedBeforeTheyStart() {
    List<ForwardingFixture.Caller> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      callers.add(entry.caller("till"));
      callers.get(i).send("s" + i, new SessionStatement.Write("WRITE x " + "y".repeat(LARGE)));
    }
    fixture.time.advance(2 * ForwardingFixture.LINK_DELAY_MS);
    long most = ForwardingFixture.MEMORY_LIMIT / 2;
    assertTrue(home.backpressure.bufferedBytes() <= most);
    assertTrue(home.backpressure.bufferedBytes() > most - 2 * LARGE);
    fixture.time.advance(5_000);
    for (int i = 0; i < CALLERS; i++) {
      Answer answer = callers.get(i).answers.get(0);
      String id = "s" + i;
      boolean ran =
          databases.commands("p").stream()
              .anyMatch(each -> each instanceof DatabaseCommand.Forward f && f.id().equals(id));
      assertEquals(ran, answer.code() != AnswerCode.BUSY);
    }
    assertEquals(0, home.backpressure.bufferedBytes());
  }

  @Test
  void statementsOfAnOpenTransactionAreNotRefused() {
    ForwardingFixture.Caller caller = entry.caller("till");
    caller.begin();
    caller.ask(new SessionStatement.Read("READ 1"), 1_000);
    home.backpressure.forwarded(ForwardingFixture.MEMORY_LIMIT);
    Answer refused = entry.caller("till").read("2");
    assertEquals(AnswerCode.BUSY, refused.code());
    Answer written = caller.ask(new SessionStatement.Write("WRITE x y"), 1_000);
    assertEquals(AnswerCode.OK, written.code());
    assertEquals(AnswerCode.OK, caller.ask(new SessionStatement.Commit(), 1_000).code());
    home.backpressure.forwarded(-ForwardingFixture.MEMORY_LIMIT);
    assertEquals(0, home.backpressure.bufferedBytes());
  }
}
