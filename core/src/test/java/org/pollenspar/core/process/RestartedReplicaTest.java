package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.connection.Position;

/**
 * Guards against the loss of acknowledged writes: a database that has started again under its id
 * holds nothing of before, and its answer is taken for the report of the earlier incarnation.
 */
class RestartedReplicaTest extends PrimaryChangeScenario {
  private static final long STARTED = 1_000;
  private static final long STARTED_AGAIN = 2_000;

  @BeforeEach
  void recordReplicas() {
    databases.syncReplicas = 1;
    List.of("p", "r1", "r2").forEach(id -> databases.born.put(id, STARTED));
    put(ControlKeys.replicas(GROUP), databases.replicas().encode());
    reload();
    databases.answers.remove("p");
  }

  private void startAgain(String id) {
    databases.answers.put(id, new DatabaseControl.DatabaseStatus(false, 0, Position.ZERO));
  }

  private List<String> promotions() {
    return steps.stream().filter(step -> step.startsWith("promote ")).toList();
  }

  @Test
  void theChangeWaitsForTheOldPrimaryThatHasTheLog() {
    for (String id : List.of("r1", "r2")) {
      startAgain(id);
      databases.born.put(id, STARTED_AGAIN);
    }
    change(true);
    time.advance(5_000);
    assertEquals(List.of(), promotions());
    databases.at("p", 10);
    time.advance(3_000);
    assertEquals(List.of(), promotions());
    assertTrue(steps.contains("done true"), steps.toString());
  }

  @Test
  void aRegistrationMayArriveAfterTheAnswer() {
    startAgain("r1");
    startAgain("r2");
    change();
    time.advance(1_000);
    databases.born.put("r1", STARTED_AGAIN);
    databases.born.put("r2", STARTED_AGAIN);
    time.advance(5_000);
    assertEquals(List.of(), promotions());
  }

  @Test
  void aLogThatGetsShorterIsThatOfAnotherIncarnation() {
    databases.answers.remove("r2");
    change();
    time.advance(1_000);
    startAgain("r1");
    databases.at("r2", 8);
    time.advance(5_000);
    assertEquals(List.of(), promotions());
  }

  @Test
  void anOldPrimaryWithoutItsLogHasNotReported() {
    startAgain("p");
    databases.answers.remove("r1");
    change();
    time.advance(5_000);
    assertEquals(List.of(), promotions());
  }

  @Test
  void replicasThatRunOnAreEnough() {
    change();
    time.advance(4_000);
    assertEquals(List.of("promote r1"), promotions());
  }
}
