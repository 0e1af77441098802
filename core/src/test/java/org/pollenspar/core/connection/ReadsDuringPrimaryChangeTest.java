package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.PrimaryRecord;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.SessionStatement;

/**
 * Guards against reads that are refused while the primary is replaced, although replicas meet their
 * staleness bound of 1,500 ms, and against reads beyond that bound.
 */
class ReadsDuringPrimaryChangeTest {
  private final SessionFixture fixture = new SessionFixture(3);

  @BeforeEach
  void samplePrimary() {
    fixture.caller("till").read("1");
    // The caller waits 1 s for its answer; this one gives a recent sample.
    fixture.caller("till").send(new SessionStatement.Read("READ 1"));
    fixture.time.advance(100);
  }

  private void revokePrimary() {
    fixture.authority.revoke(SessionFixture.GROUP, 20);
  }

  private void publish(String database, long revision) {
    fixture.databases.positions.put(database, new Position(2, 101));
    fixture.authority.update(PrimaryRecord.leading(SessionFixture.GROUP, database, 2, 2, revision));
  }

  private AnswerCode readAt(String route) {
    return fixture.caller(route).read("1").code();
  }

  @Test
  void replicasAnswerWithinTheBound() {
    revokePrimary();
    assertEquals(AnswerCode.OK, readAt("old"));
  }

  @Test
  void replicasAnswerASessionWithAnOwnCommit() {
    var caller = fixture.caller("own");
    fixture.databases.positions.put("p", new Position(1, 101));
    assertEquals(AnswerCode.OK, caller.write("1").code());
    fixture.databases.positions.put("r2", new Position(1, 101));
    fixture.caller("till").read("1");
    fixture.databases.received.clear();
    revokePrimary();
    assertEquals(AnswerCode.OK, caller.read("1").code());
  }

  @Test
  void beyondTheBoundTheyAreRefused() {
    revokePrimary();
    fixture.time.advance(1_200);
    assertEquals(AnswerCode.BUSY, readAt("old"));
  }

  @Test
  void writesAndCurrentReadsAreRefused() {
    revokePrimary();
    assertEquals(AnswerCode.BUSY, readAt("till"));
    assertEquals(AnswerCode.BUSY, fixture.caller("own").write("1").code());
  }

  @Test
  void aSampleOfTheOldPrimaryDoesNotCoverWritesOfTheNewOne() {
    revokePrimary();
    publish("r1", 21);
    assertEquals(AnswerCode.OK, fixture.caller("own").write("1").code());
    // The write is now older than the bound, and so are all samples but those of the new primary.
    fixture.time.advance(1_200);
    Position required = fixture.router.requiredPosition(fixture.routes.route("old"), null);
    assertEquals(null, required);
  }
}
