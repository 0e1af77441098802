package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.Organisation;
import org.pollenspar.core.version.Organisation.RateLimit;
import org.pollenspar.core.version.Organisations;
import org.pollenspar.core.version.RouteTable;

/** Guards against statements that run without a grant, and against grants that are lost. */
class QuotaStatementTest implements QuotaMessages {
  private final SessionFixture fixture = new SessionFixture(5);
  private final Member coordinator = new Member("c", "c", "1", "a", 1_000, false);
  private final QuotaSelection selection = new QuotaSelection(() -> List.of(coordinator));
  private final QuotaClient client =
      new QuotaClient(
          "self",
          selection,
          new QuotaCoordinators(
              "self",
              selection,
              () -> fixture.routes,
              () -> true,
              this,
              fixture.time,
              fixture.time,
              (event, subject, detail) -> {}),
          this,
          0.1,
          fixture.time,
          fixture.time,
          (event, subject, detail) -> {});
  private final SessionContext context =
      new SessionContext(
          () -> fixture.routes,
          group -> new QuotaExecutor(new LocalExecutor(fixture.router), client),
          fixture.time,
          fixture.time,
          fixture.context.decisions());
  private final List<Answer> answers = new ArrayList<>();
  private final List<Consumer<QuotaDecision>> asked = new ArrayList<>();
  private int givenBack;
  private final CallerSession session = session("till");

  private CallerSession session(String database) {
    return new CallerSession(
        context,
        database,
        "key",
        new CallerConnection() {
          @Override
          public void answer(Answer answer) {
            answers.add(answer);
          }

          @Override
          public void close() {}
        });
  }

  @Override
  public void ask(Member to, QuotaRequest request, Consumer<QuotaDecision> done) {
    asked.add(done);
  }

  @Override
  public void giveBack(Member to, String organisation, boolean relayed) {
    givenBack++;
  }

  @Override
  public void heartbeat(
      Member second,
      String organisation,
      String sender,
      long sharedMillis,
      Consumer<QuotaAcknowledgement> done) {}

  private void limit(RateLimit limit) {
    limit(limit, "key");
  }

  private void send(SessionStatement statement) {
    session.receive(new SessionRequest("q", statement, fixture.time.steadyNanos()));
  }

  private void decide(QuotaDecision.Kind kind) {
    asked.get(asked.size() - 1).accept(new QuotaDecision(kind, 40));
  }

  private AnswerCode lastCode() {
    return answers.get(answers.size() - 1).code();
  }

  /** Guards against messages for organisations without a limit. */
  @Test
  void withoutALimitNobodyIsAsked() {
    limit(null);
    send(new SessionStatement.Read("READ a"));
    fixture.time.advance(100);
    assertEquals(AnswerCode.OK, lastCode());
    assertEquals(List.of(), asked);
  }

  /** Guards against statements that reach a database before their grant. */
  @Test
  void aStatementWaitsForItsGrantAndTakesOne() {
    limit(new RateLimit(10, 10));
    send(new SessionStatement.Read("READ a"));
    fixture.time.advance(20);
    assertEquals(List.of(), fixture.databases.received);
    decide(QuotaDecision.Kind.GRANTED);
    fixture.time.advance(100);
    assertEquals(AnswerCode.OK, lastCode());
    assertEquals(1, asked.size());
    assertEquals(0, givenBack);
  }

  /** Guards against refusals without the time to come back. */
  @Test
  void aRefusalStatesWhenToRetry() {
    limit(new RateLimit(10, 10));
    send(new SessionStatement.Read("READ a"));
    decide(QuotaDecision.Kind.REFUSED);
    assertEquals(AnswerCode.BUSY, lastCode());
    assertTrue(answers.get(0).detail().endsWith("retry in 40 ms"), answers.get(0).detail());
    assertEquals(List.of(), fixture.databases.received);
  }

  /** Guards against a transaction that takes a grant per statement, or one at its begin. */
  @Test
  void aTransactionTakesOneGrantWithItsFirstStatement() {
    limit(new RateLimit(10, 10));
    send(new SessionStatement.Begin(false));
    assertEquals(0, asked.size());
    send(new SessionStatement.Read("READ a"));
    decide(QuotaDecision.Kind.GRANTED);
    fixture.time.advance(100);
    send(new SessionStatement.Write("WRITE a b"));
    fixture.time.advance(100);
    send(new SessionStatement.Commit());
    fixture.time.advance(100);
    assertEquals(AnswerCode.OK, lastCode());
    assertEquals(4, answers.size());
    assertEquals(1, asked.size());
  }

  /** Guards against a refused transaction that goes on with its second statement. */
  @Test
  void aRefusalFailsTheTransaction() {
    limit(new RateLimit(10, 10));
    send(new SessionStatement.Begin(false));
    send(new SessionStatement.Read("READ a"));
    decide(QuotaDecision.Kind.REFUSED);
    assertEquals(AnswerCode.BUSY, lastCode());
    assertEquals(TransactionState.FAILED, answers.get(1).state());
    send(new SessionStatement.Commit());
    assertEquals(AnswerCode.ABORTED, lastCode());
    assertEquals(List.of(), fixture.databases.received);
  }

  /** Guards against a budget that loses the operations for which no database was free. */
  @Test
  void aGrantOfWhichNothingWasSentIsGivenBack() {
    limit(new RateLimit(10, 10));
    fixture.confirmation.withdraw();
    send(new SessionStatement.Write("WRITE a b"));
    decide(QuotaDecision.Kind.GRANTED);
    fixture.time.advance(1_000);
    assertEquals(AnswerCode.BUSY, lastCode());
    assertEquals(1, givenBack);
  }

  private void limit(RateLimit limit, String key) {
    fixture.routes =
        new RouteTable(
            fixture.routes.version() + 1,
            fixture.routes.routes(),
            fixture.routes.groups(),
            fixture.routes.transactionIdleMillis(),
            new Organisations(
                Map.of("acme", new Organisation("acme", limit)), Map.of(key, "acme")));
  }

  /** Answers the first command of a kind as lost, and all later ones with a refusal. */
  private void loseFirst(Class<? extends DatabaseCommand> kind, AnswerCode later) {
    int[] count = {0};
    fixture.databases.script(
        each ->
            kind.isInstance(each.command())
                ? Answer.error(
                    count[0]++ == 0 ? AnswerCode.LOST : later, "scripted", TransactionState.IDLE)
                : null);
  }

  /** Guards against a grant that is used again although a read that was lost has used it. */
  @ParameterizedTest
  @EnumSource(names = {"BUSY", "LAGGING"})
  void aGrantIsKeptIfALostReadMayHaveRun(AnswerCode later) {
    limit(new RateLimit(10, 10));
    loseFirst(DatabaseCommand.Forward.class, later);
    CallerSession old = session("old");
    old.receive(read());
    decide(QuotaDecision.Kind.GRANTED);
    fixture.time.advance(1_000);
    assertEquals(AnswerCode.BUSY, lastCode());
    assertEquals(0, givenBack);
  }

  /** Guards against a lost grant if each database has answered that nothing ran. */
  @Test
  void aGrantIsGivenBackIfEachDatabaseHasRefused() {
    limit(new RateLimit(10, 10));
    fixture.databases.script(
        each -> Answer.error(AnswerCode.LAGGING, "scripted", TransactionState.IDLE));
    session("old").receive(read());
    decide(QuotaDecision.Kind.GRANTED);
    fixture.time.advance(1_000);
    assertEquals(1, givenBack);
  }

  /** Guards against the same for a read-only transaction, whose opening is tried again. */
  @Test
  void aGrantIsKeptIfALostTransactionMayHaveBegun() {
    limit(new RateLimit(10, 10));
    loseFirst(DatabaseCommand.Begin.class, AnswerCode.BUSY);
    CallerSession old = session("old");
    old.receive(new SessionRequest("b", new SessionStatement.Begin(true), 0));
    old.receive(read());
    decide(QuotaDecision.Kind.GRANTED);
    fixture.time.advance(1_000);
    assertEquals(AnswerCode.BUSY, lastCode());
    assertEquals(0, givenBack);
  }

  private SessionRequest read() {
    return new SessionRequest("r", new SessionStatement.Read("READ a"), fixture.time.steadyNanos());
  }

  /** Guards against a statement that runs under a key that was removed while it waited. */
  @ParameterizedTest
  @CsvSource({"false,GRANTED", "false,REFUSED", "true,GRANTED", "true,REFUSED"})
  void aKeyThatIsRemovedDuringTheWaitRunsNothing(boolean inTransaction, QuotaDecision.Kind kind) {
    limit(new RateLimit(10, 10), "key");
    if (inTransaction) {
      send(new SessionStatement.Begin(false));
    }
    send(new SessionStatement.Write("WRITE a b"));
    limit(new RateLimit(10, 10), "other");
    session.configurationChanged();
    decide(kind);
    fixture.time.advance(1_000);
    assertEquals(AnswerCode.DENIED, lastCode());
    assertEquals(List.of(), fixture.databases.received);
    assertEquals(kind == QuotaDecision.Kind.GRANTED ? 1 : 0, givenBack);
    if (inTransaction) {
      assertEquals(TransactionState.FAILED, answers.get(1).state());
      send(new SessionStatement.Commit());
      assertEquals(AnswerCode.DENIED, lastCode());
      assertEquals(TransactionState.IDLE, answers.get(2).state());
    }
  }

  /** Guards against grants that are lost with callers who disconnect, and work for nobody. */
  @Test
  void aCallerThatDisconnectsWhileItWaitsRunsNothing() {
    limit(new RateLimit(10, 10));
    send(new SessionStatement.Write("WRITE a b"));
    session.callerDisconnected();
    decide(QuotaDecision.Kind.GRANTED);
    fixture.time.advance(1_000);
    assertEquals(List.of(), fixture.databases.received);
    assertEquals(1, givenBack);
    assertTrue(session.idle());
  }

  /** Guards against the same for a transaction, whose first statement waits. */
  @Test
  void aCallerThatDisconnectsInATransactionRunsNothing() {
    limit(new RateLimit(10, 10));
    send(new SessionStatement.Begin(false));
    send(new SessionStatement.Write("WRITE a b"));
    session.callerDisconnected();
    decide(QuotaDecision.Kind.GRANTED);
    fixture.time.advance(1_000);
    assertEquals(List.of(), fixture.databases.received);
    assertEquals(1, givenBack);
  }

  /** Guards against a statement that waits for an answer that never comes. */
  @Test
  void withoutAnAnswerTheStatementIsRefusedSoon() {
    limit(new RateLimit(10, 10));
    send(new SessionStatement.Read("READ a"));
    fixture.time.advance(149);
    assertEquals(0, answers.size());
    fixture.time.advance(2);
    assertEquals(AnswerCode.BUSY, lastCode());
    decide(QuotaDecision.Kind.GRANTED);
    assertEquals(1, givenBack);
  }
}
