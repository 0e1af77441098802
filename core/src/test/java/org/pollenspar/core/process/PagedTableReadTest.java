package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a read of several pages that shows a shared lease without the changes and
 * suspensions that came before it, and against one that removes what was written during the read.
 */
class PagedTableReadTest {
  private static final String GROUP = "ledger";
  private static final String PRIMARY = ControlKeys.primary(GROUP);
  private static final String MEMBER = ControlKeys.member("b");

  private final FakeTime time = new FakeTime();
  private final PrimaryAuthority authority = new PrimaryAuthority(new Confirmation(time));
  private final FleetTable table = new FleetTable(authority, time);

  /** A store that returns one key a page, in order, as the platform's store orders them. */
  private final TreeMap<String, CoordinationStore.Item> stored = new TreeMap<>();

  private long revision;

  private CoordinationStore.Item put(String key, String value) {
    CoordinationStore.Item item = new CoordinationStore.Item(key, value, ++revision, false);
    stored.put(key, item);
    return item;
  }

  private static String member(boolean suspended) {
    return ControlKeys.encode(new Member("b", "b", "1", "", 1_000, suspended));
  }

  private void putTable() {
    put(ControlKeys.FAILOVER_LEASE, "a");
    put(ControlKeys.SHARED_LEASE, ControlKeys.encodeSharedLease(1));
    put(MEMBER, member(false));
    put(PRIMARY, ControlKeys.encode(PrimaryRecord.leading(GROUP, "p", 1, 1, 0)));
    put(ControlKeys.replicas(GROUP), "");
  }

  /** Reads all pages and runs a change of the store after one of them. */
  private void read(int changeAfterPage, Runnable change) {
    List<CoordinationStore.Item> items = new ArrayList<>();
    long firstRevision = revision;
    String after = "";
    for (int page = 1; page == 1 || stored.higherEntry(after) != null; page++) {
      Map.Entry<String, CoordinationStore.Item> next = stored.higherEntry(after);
      items.add(next.getValue());
      after = next.getKey();
      if (page == changeAfterPage) {
        change.run();
      }
    }
    table.load(items, firstRevision);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3, 4, 5})
  void aSharedLeaseIsReadWithTheChangesBeforeIt(int changeAfterPage) {
    putTable();
    Runnable change =
        () -> {
          PrimaryRecord intent = new PrimaryRecord(GROUP, "p", 1, true, 1, "", 0);
          put(MEMBER, member(true));
          put(PRIMARY, ControlKeys.encode(intent));
          put(ControlKeys.SHARED_LEASE, ControlKeys.encodeSharedLease(2));
        };
    if (changeAfterPage == 0) {
      change.run();
    }
    read(changeAfterPage, change);
    if (table.sharedLease() == 2) {
      assertTrue(authority.record(GROUP).changing());
      assertTrue(table.member("b").suspended());
    }
    assertEquals(changeAfterPage < 2 ? 2 : 1, table.sharedLease());
  }

  /** A page read before a registration lacks it, although its event has arrived already. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5})
  void aRegistrationDuringTheReadIsKept(int changeAfterPage) {
    putTable();
    read(
        changeAfterPage,
        () -> {
          Member joined = new Member("a", "a", "1", "", 1_000, false);
          table.apply(put(ControlKeys.member("a"), ControlKeys.encode(joined)));
        });
    assertNotNull(table.member("a"));
  }
}
