package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Decides which database of a group this host may use as the primary.
 *
 * <p>Invariant: a primary is returned only while the {@link Confirmation} holds and no change of
 * the group is known. A host that acknowledges a revocation has no commit under way at the old
 * primary whose success it would still report.
 */
public final class PrimaryAuthority {
  private final Confirmation confirmation;
  private final Map<String, PrimaryRecord> records = new HashMap<>();
  private final Map<String, Integer> writesUnderWay = new HashMap<>();
  private final Map<String, List<Runnable>> drainWaiters = new HashMap<>();
  private final Set<String> releasing = new HashSet<>();
  private final List<Consumer<String>> revocationListeners = new ArrayList<>();

  /** Creates an authority that knows no primary. */
  public PrimaryAuthority(Confirmation confirmation) {
    this.confirmation = confirmation;
  }

  /** Calls a listener with the group whenever its primary may no longer be used. */
  public void onRecordChanged(Consumer<String> listener) {
    revocationListeners.add(listener);
  }

  /**
   * Takes over one record of the store. A record older than a revocation or a record already known
   * is ignored, since events and direct messages may cross.
   */
  public void update(PrimaryRecord record) {
    @Nullable PrimaryRecord known = records.get(record.group());
    if (known != null && older(record, known)) {
      return;
    }
    boolean changes = known == null || !known.equals(record);
    records.put(record.group(), record);
    if (!record.changing()) {
      releasing.remove(record.group());
    } else if (known != null && !known.changing()) {
      releasing.add(record.group());
    }
    if (changes) {
      revocationListeners.forEach(listener -> listener.accept(record.group()));
    }
  }

  private static boolean older(PrimaryRecord record, PrimaryRecord known) {
    return record.revision() < known.revision();
  }

  /** Stops using the primary of a group because another host is about to replace it. */
  public void revoke(String group, long revision) {
    @Nullable PrimaryRecord known = records.get(group);
    if (known != null && known.revision() < revision) {
      if (!known.changing()) {
        releasing.add(group);
      }
      records.put(group, known.revokedAt(revision));
      revocationListeners.forEach(listener -> listener.accept(group));
    }
  }

  /** Returns the record of a group; null before it is known. */
  public @Nullable PrimaryRecord record(String group) {
    return records.get(group);
  }

  /** Returns the database that may be used as the primary now; null if there is none. */
  public @Nullable String primary(String group) {
    @Nullable PrimaryRecord record = records.get(group);
    return record != null && !record.changing() && confirmation.holds() ? record.database() : null;
  }

  /** Returns whether a database of a term is still the primary. */
  public boolean leads(String group, String database, long term) {
    @Nullable PrimaryRecord record = records.get(group);
    return record != null && record.term() == term && database.equals(primary(group));
  }

  /**
   * Returns whether the success of a write at a database may still be reported: it leads, or the
   * host that replaces it has not been told yet that this host let go of it.
   */
  public boolean mayAcknowledgeWrite(String group, String database, long term) {
    @Nullable PrimaryRecord record = records.get(group);
    return record != null
        && confirmation.holds()
        && record.term() == term
        && record.database().equals(database)
        && (!record.changing() || releasing.contains(group));
  }

  /** Notes that the host that replaces the primary is told now that this host let go of it. */
  public void revocationAcknowledged(String group) {
    releasing.remove(group);
  }

  /** Notes that a write or commit was sent to the primary of a group. */
  public void writeStarted(String group) {
    writesUnderWay.merge(group, 1, Integer::sum);
  }

  /** Notes that the answer to a write or commit was dealt with. */
  public void writeEnded(String group) {
    int left = writesUnderWay.merge(group, -1, Integer::sum);
    if (left == 0) {
      @Nullable List<Runnable> waiters = drainWaiters.remove(group);
      if (waiters != null) {
        waiters.forEach(Runnable::run);
      }
    }
  }

  /** Runs a task once no write of the group is under way; at once if none is. */
  public void whenWritesFinished(String group, Runnable task) {
    if (writesUnderWay.getOrDefault(group, 0) == 0) {
      task.run();
    } else {
      drainWaiters.computeIfAbsent(group, key -> new ArrayList<>()).add(task);
    }
  }
}
