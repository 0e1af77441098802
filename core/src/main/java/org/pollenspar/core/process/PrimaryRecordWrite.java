package org.pollenspar.core.process;

import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Writes the record of a group's primary if neither the record nor the failover lease has changed.
 *
 * <p>A write without an answer may have taken effect, or may do so later. It is looked up in the
 * table and repeated if it isn't there. The condition on the revision keeps a late write from
 * taking effect after its repetition, and one of both from taking effect twice.
 */
final class PrimaryRecordWrite {
  private static final int MAX_ATTEMPTS = 3;

  private final CoordinationStore store;
  private final PrimaryRecord record;
  private final String key;
  private final long expectedRevision;
  private final Consumer<Long> written;
  private final Consumer<String> failed;
  private int attempts;

  /**
   * Prepares a write; its record's fence is that of the failover lease.
   *
   * @param expectedRevision revision of the record that is replaced
   * @param written receives the revision of the new record
   * @param failed receives the reason if the record was not written, or may not have been
   */
  PrimaryRecordWrite(
      CoordinationStore store,
      PrimaryRecord record,
      long expectedRevision,
      Consumer<Long> written,
      Consumer<String> failed) {
    this.store = store;
    this.record = record;
    this.key = ControlKeys.primary(record.group());
    this.expectedRevision = expectedRevision;
    this.written = written;
    this.failed = failed;
  }

  void start() {
    attempts++;
    store.transact(
        List.of(
            new CoordinationStore.Expectation(key, expectedRevision),
            new CoordinationStore.Expectation(ControlKeys.FAILOVER_LEASE, record.fence())),
        List.of(new CoordinationStore.Put(key, ControlKeys.encode(record), 0)),
        List.of(),
        this::answered);
  }

  private void answered(CoordinationStore.Reply reply) {
    // The conflict of a repetition may be with an earlier attempt that was executed late.
    boolean unknown =
        reply.status() == CoordinationStore.Status.UNKNOWN
            || (reply.status() == CoordinationStore.Status.CONFLICT && attempts > 1);
    if (reply.done()) {
      written.accept(reply.revision());
    } else if (unknown && attempts < MAX_ATTEMPTS) {
      store.range(key, this::lookedUp);
    } else {
      failed.accept(reply.status().toString());
    }
  }

  private void lookedUp(CoordinationStore.Reply reply) {
    CoordinationStore.@Nullable Item found =
        reply.items().stream().filter(item -> item.key().equals(key)).findFirst().orElse(null);
    if (!reply.done() || found == null) {
      failed.accept("no answer, and it could not be read: " + reply.status());
    } else if (found.revision() == expectedRevision) {
      start();
    } else if (found.value().equals(ControlKeys.encode(record))) {
      written.accept(found.revision());
    } else {
      failed.accept("another host has changed it");
    }
  }
}
