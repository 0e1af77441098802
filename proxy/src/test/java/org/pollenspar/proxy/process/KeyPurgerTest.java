package org.pollenspar.proxy.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.ResultTable;
import org.pollenspar.core.request.WorkRequest;
import org.pollenspar.core.version.FleetFile;
import org.pollenspar.core.version.FleetFileParser;

/**
 * Guards against deleting idempotency records within the retention time, whose requests could then
 * run twice, and against large batches.
 */
class KeyPurgerTest {
  private static final long NOW_MILLIS = TimeUnit.HOURS.toMillis(100);

  private final FleetFile file = new FleetFileParser().parse("f", FleetFixture.FILE).get();
  private final List<WorkRequest> requests = new ArrayList<>();

  private KeyPurger purger(List<List<String>> oldKeys) {
    ResultTable table = new ResultTable(List.of("key"), oldKeys, 0);
    return new KeyPurger(
        request -> {
          requests.add(request);
          Outcome done =
              new Outcome.Done(List.of(table), Optional.empty(), "d1", DatabaseRole.REPLICA);
          return CompletableFuture.completedFuture(Optional.of(done));
        },
        () -> "new",
        () -> 1,
        () -> NOW_MILLIS);
  }

  @Test
  void asksForRecordsOlderThanTheRetentionOnly() {
    assertEquals(0, purger(List.of()).purge("ledger", file).join());
    String sql = requests.get(0).statements().get(0).sql();
    assertTrue(sql.contains("created_ms <= " + TimeUnit.HOURS.toMillis(76) + " LIMIT 50"), sql);
    assertEquals(1, requests.size());
  }

  @Test
  void deletesByKeyAtTheLowestRank() {
    assertEquals(2, purger(List.of(List.of("a"), List.of("b'c"))).purge("ledger", file).join());
    WorkRequest deletion = requests.get(1);
    assertEquals("bulk", deletion.kind().rank().name());
    assertEquals(Optional.of("new"), deletion.key());
    assertEquals(
        "DELETE FROM pollenspar.keys WHERE key = 'b''c'", deletion.statements().get(1).sql());
  }
}
