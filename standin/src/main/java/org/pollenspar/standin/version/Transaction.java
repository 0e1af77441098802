package org.pollenspar.standin.version;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * An open transaction: its uncommitted changes and its locks. All fields are guarded by the lock of
 * the {@link DatabaseEngine}.
 */
public final class Transaction {
  /** New values of changed rows; empty for a deleted row. */
  final Map<RowKey, Optional<List<@Nullable String>>> writes = new LinkedHashMap<>();

  final Map<String, Table> created = new LinkedHashMap<>();
  final Set<RowKey> locks = new HashSet<>();
  final boolean readOnly;

  /** Holder of the lock that the transaction waits for; null while it waits for none. */
  @Nullable Transaction waitsFor;

  /** Term in which the transaction first wrote; 0 before that. */
  long term;

  boolean cancelled;

  /** Owner named by the last statement that named one; empty if none did. */
  String owner = "";

  Transaction(boolean readOnly) {
    this.readOnly = readOnly;
  }
}
