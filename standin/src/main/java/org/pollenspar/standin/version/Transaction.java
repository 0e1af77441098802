package org.pollenspar.standin.version;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * An open transaction: its uncommitted rows and its locks. All fields are guarded by the lock of
 * the {@link DatabaseEngine}.
 */
public final class Transaction {
  final Map<RowKey, Optional<List<@Nullable String>>> writes = new LinkedHashMap<>();
  final Map<String, Table> created = new LinkedHashMap<>();
  final Set<RowKey> locks = new HashSet<>();
  final boolean readOnly;
  @Nullable Transaction waitsFor;
  long term;
  boolean cancelled;
  String owner = "";

  Transaction(boolean readOnly) {
    this.readOnly = readOnly;
  }
}
