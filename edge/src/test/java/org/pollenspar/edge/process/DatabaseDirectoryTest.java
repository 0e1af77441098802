package org.pollenspar.edge.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenspar.core.connection.DatabaseEntry;

/**
 * Guards against the loss of acknowledged writes because a database that starts again under its id
 * takes the place of its earlier incarnation, which may hold the only replica's copy.
 */
class DatabaseDirectoryTest {
  private boolean synchronous = true;
  private final DatabaseDirectory directory =
      new DatabaseDirectory((delay, task) -> () -> {}, group -> synchronous, group -> {});

  private static DatabaseEntry entry(long born) {
    return new DatabaseEntry("r1", "ledger", "10.0.0.1", 1, "a", 3, false, false, born);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void theEarlierIncarnationIsRemembered(boolean unregisteredBetween) {
    directory.registered(entry(100));
    if (unregisteredBetween) {
      directory.unregistered("r1");
    }
    directory.registered(entry(200));
    assertEquals(List.of(entry(100)), directory.lapsed("ledger"));
    directory.forgetLapsed(Set.of("r1@100"));
    assertEquals(List.of(), directory.lapsed("ledger"));
  }

  @Test
  void aDatabaseThatRegistersAgainIsTheSame() {
    directory.registered(entry(100));
    directory.unregistered("r1");
    directory.registered(entry(100));
    assertEquals(List.of(), directory.lapsed("ledger"));
  }

  @Test
  void nothingIsRememberedWithAsynchronousReplication() {
    synchronous = false;
    directory.registered(entry(100));
    directory.registered(entry(200));
    assertEquals(List.of(), directory.lapsed("ledger"));
  }
}
