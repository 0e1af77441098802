package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.DatabaseControl;
import org.pollenspar.core.process.PrimaryClaims;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.SessionStatement;

/**
 * Guards against statements that succeed at the recorded primary after another database of the
 * group has registered as the primary.
 */
class ClaimedPrimaryTest {
  private final SessionFixture fixture = new SessionFixture(3);
  private final PrimaryClaims claims =
      new PrimaryClaims(
          fixture.authority, new SilentDatabases(), fixture.time, (event, subject, detail) -> {});

  /** Databases that answer no status command. */
  private static final class SilentDatabases implements DatabaseControl {
    @Override
    public Collection<String> groups() {
      return List.of(SessionFixture.GROUP);
    }

    @Override
    public Collection<Candidate> candidates(String group) {
      return List.of();
    }

    @Override
    public Collection<Candidate> lapsed(String group) {
      return List.of();
    }

    @Override
    public int syncReplicas(String group) {
      return 0;
    }

    @Override
    public void status(String group, String database, Consumer<@Nullable DatabaseStatus> done) {
      done.accept(null);
    }

    @Override
    public void stepDown(
        String group, String database, long term, Consumer<@Nullable DatabaseStatus> done) {
      done.accept(null);
    }
  }

  private void claim() {
    claims.registered(SessionFixture.GROUP, "r1", true, 20);
  }

  @Test
  void aWriteUnderWayIsInDoubt() {
    var caller = fixture.caller("till");
    caller.send(new SessionStatement.Write("WRITE 1 x"));
    fixture.time.advance(2);
    claim();
    fixture.time.advance(10);
    assertEquals(AnswerCode.IN_DOUBT, caller.answers.get(0).code());
  }

  @Test
  void aCommitUnderWayIsInDoubt() {
    var caller = fixture.caller("till");
    caller.begin();
    caller.write("1");
    caller.send(new SessionStatement.Commit());
    fixture.time.advance(2);
    claim();
    fixture.time.advance(10);
    assertEquals(AnswerCode.IN_DOUBT, caller.answers.get(2).code());
  }

  @Test
  void aReadUnderWayIsRefused() {
    var caller = fixture.caller("till");
    caller.send(new SessionStatement.Read("READ 1"));
    fixture.time.advance(2);
    claim();
    fixture.time.advance(10);
    assertEquals(AnswerCode.BUSY, caller.answers.get(0).code());
  }

  @Test
  void nothingIsStartedUntilTheClaimEnds() {
    claim();
    var caller = fixture.caller("till");
    assertEquals(AnswerCode.BUSY, caller.write("1").code());
    assertEquals(AnswerCode.BUSY, caller.read("1").code());
    assertTrue(fixture.databases.received.isEmpty());
    claims.registered(SessionFixture.GROUP, "r1", false, 21);
    assertEquals(AnswerCode.OK, caller.write("1").code());
  }
}
