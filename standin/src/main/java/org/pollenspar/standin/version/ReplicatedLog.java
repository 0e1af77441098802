package org.pollenspar.standin.version;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.Position;

/**
 * The log of committed transactions and the tables that result from applying it. Each entry is
 * applied when it is appended and is kept with the changes that undo it, so that a suffix that
 * differs from the primary's log can be undone. Guarded by the lock of the {@link DatabaseEngine}.
 */
final class ReplicatedLog {
  /**
   * An applied entry.
   *
   * @param undo changes that undo it, in the order of application
   * @param appliedNanos time of application, as of {@link System#nanoTime}
   */
  private record AppliedEntry(LogEntry entry, List<Change> undo, long appliedNanos) {}

  final Map<String, Table> tables = new HashMap<>();
  private final List<AppliedEntry> applied = new ArrayList<>();

  Position position() {
    return applied.isEmpty() ? Position.ZERO : applied.get(applied.size() - 1).entry().position();
  }

  long offset() {
    return applied.size();
  }

  /** Returns the term of an entry; 0 for offset 0. */
  long termAt(long offset) {
    return offset == 0 ? 0 : applied.get(Math.toIntExact(offset - 1)).entry().term();
  }

  /**
   * Returns up to {@code limit} entries after an offset that were applied at or before {@code
   * latestNanos}.
   */
  List<LogEntry> entriesAfter(long offset, long latestNanos, int limit) {
    List<LogEntry> entries = new ArrayList<>();
    for (long next = offset + 1; next <= offset() && entries.size() < limit; next++) {
      AppliedEntry candidate = applied.get(Math.toIntExact(next - 1));
      if (candidate.appliedNanos() - latestNanos > 0) {
        break;
      }
      entries.add(candidate.entry());
    }
    return entries;
  }

  void append(LogEntry entry, long nowNanos) {
    List<Change> undo = new ArrayList<>();
    for (Change change : entry.changes()) {
      undo.add(apply(change));
    }
    Collections.reverse(undo);
    applied.add(new AppliedEntry(entry, undo, nowNanos));
  }

  void truncate(long offset) {
    while (offset() > offset) {
      applied.remove(applied.size() - 1).undo().forEach(this::apply);
    }
  }

  /**
   * Applies a change and returns the one that undoes it. A change without columns and key drops the
   * table; only the undoing of a creation has this form.
   */
  private Change apply(Change change) {
    if (change.create() != null) {
      tables.put(change.table(), new Table(change.table(), change.create()));
      return new Change(change.table(), null, null, null);
    }
    if (change.key() == null) {
      Table dropped = Objects.requireNonNull(tables.remove(change.table()));
      return new Change(change.table(), dropped.columns(), null, null);
    }
    Table table = Objects.requireNonNull(tables.get(change.table()));
    @Nullable List<@Nullable String> before =
        change.row() == null
            ? table.rows.remove(change.key())
            : table.rows.put(change.key(), change.row());
    return new Change(change.table(), null, change.key(), before);
  }

  Optional<Table> table(String name) {
    return Optional.ofNullable(tables.get(name));
  }
}
