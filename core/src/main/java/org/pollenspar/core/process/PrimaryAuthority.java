package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Decides which database of a group this host may use as the primary.
 *
 * <p>Invariant: a primary is returned only while the {@link Confirmation} is valid, no change of
 * the group's primary is known, and its use is not suspended by {@link PrimaryClaims}. Once this
 * host has acknowledged a revocation, it reports no success of a commit that it had sent to the old
 * primary.
 *
 * <p>Not thread-safe: used by the thread that owns the state of the host.
 */
public final class PrimaryAuthority {
  /** Whether the recorded primary of a group may be used, or why it may not. */
  public enum Use {
    USABLE,
    /** No record of the group's primary is known. */
    UNKNOWN,
    /** The primary is being replaced. */
    CHANGING,
    /** Another database claims to be the primary. */
    SUSPENDED,
    /** This host's confirmation isn't valid. */
    UNCONFIRMED
  }

  private final Confirmation confirmation;
  private final Map<String, PrimaryRecord> records = new HashMap<>();
  private final Map<String, Integer> writesInProgress = new HashMap<>();
  private final Map<String, List<Runnable>> writesFinishedTasks = new HashMap<>();

  /**
   * Groups with a revocation that this host has not acknowledged, and whether the confirmation that
   * it had when it learned of the change still is valid. The host that replaces the primary waits
   * no longer than that for an acknowledgement; later renewals show that this host knows the
   * change, not that the primary may be used.
   */
  private final Map<String, BooleanSupplier> unacknowledgedRevocations = new HashMap<>();

  /** Revisions of the latest revocations of groups whose record was not known then. */
  private final Map<String, Long> revokedUnknown = new HashMap<>();

  private final Set<String> suspendedGroups = new HashSet<>();
  private final List<Consumer<String>> recordListeners = new ArrayList<>();
  private long newestIntentRevision;

  /** Creates an authority that knows no primary. */
  public PrimaryAuthority(Confirmation confirmation) {
    this.confirmation = confirmation;
  }

  /** Calls a listener with the group whenever the record of its primary changes. */
  public void onRecordChanged(Consumer<String> listener) {
    recordListeners.add(listener);
  }

  /**
   * Applies a record of the store. Events and messages from other hosts may arrive out of order, so
   * a record older than the known record or revocation is ignored.
   */
  public void update(PrimaryRecord stored) {
    long revokedAt = revokedUnknown.getOrDefault(stored.group(), 0L);
    PrimaryRecord record = stored.revision() < revokedAt ? stored.revokedAt(revokedAt) : stored;
    @Nullable PrimaryRecord known = records.get(record.group());
    if (known != null && older(record, known)) {
      return;
    }
    if (record.changing() && (known == null || !known.changing())) {
      newestIntentRevision = Math.max(newestIntentRevision, record.revision());
    }
    boolean changes = known == null || !known.equals(record);
    records.put(record.group(), record);
    if (!record.changing()) {
      unacknowledgedRevocations.remove(record.group());
    } else if (known != null && !known.changing()) {
      unacknowledgedRevocations.put(record.group(), confirmation.withoutRenewals());
    }
    if (changes) {
      recordListeners.forEach(listener -> listener.accept(record.group()));
    }
  }

  private static boolean older(PrimaryRecord record, PrimaryRecord known) {
    return record.revision() < known.revision();
  }

  /** Stops the use of a group's primary because a host is about to replace it. */
  public void revoke(String group, long revision) {
    newestIntentRevision = Math.max(newestIntentRevision, revision);
    @Nullable PrimaryRecord known = records.get(group);
    if (known == null) {
      revokedUnknown.merge(group, revision, Math::max);
    } else if (known.revision() < revision) {
      if (!known.changing()) {
        unacknowledgedRevocations.put(group, confirmation.withoutRenewals());
      }
      records.put(group, known.revokedAt(revision));
      recordListeners.forEach(listener -> listener.accept(group));
    }
  }

  /**
   * Sets whether the use of a group's primary is suspended. No success of a write or read at it is
   * reported meanwhile, also of those that were sent before.
   */
  void suspend(String group, boolean suspended) {
    if (suspended) {
      suspendedGroups.add(group);
    } else {
      suspendedGroups.remove(group);
    }
  }

  /** Returns the revision at which the latest known change of any group's primary began. */
  long newestIntentRevision() {
    return newestIntentRevision;
  }

  /** Returns null before the record of the group is known. */
  public @Nullable PrimaryRecord record(String group) {
    return records.get(group);
  }

  /** Returns the database that may be used as the primary now; null if there is none. */
  public @Nullable String primary(String group) {
    @Nullable PrimaryRecord record = records.get(group);
    return record != null && use(group) == Use.USABLE ? record.database() : null;
  }

  /** Returns whether the recorded primary of a group may be used now, or why it may not. */
  public Use use(String group) {
    @Nullable PrimaryRecord record = records.get(group);
    if (record == null) {
      return Use.UNKNOWN;
    }
    if (record.changing()) {
      return Use.CHANGING;
    }
    if (suspendedGroups.contains(group)) {
      return Use.SUSPENDED;
    }
    return confirmation.holds() ? Use.USABLE : Use.UNCONFIRMED;
  }

  /** Returns whether a database still is the primary and leads this term. */
  public boolean leads(String group, String database, long term) {
    @Nullable PrimaryRecord record = records.get(group);
    return record != null && record.term() == term && database.equals(primary(group));
  }

  /**
   * Returns whether the success of a write at a database may be reported: the database is the
   * primary, or its revocation has not been acknowledged yet, so that the host that replaces it
   * still waits for this host. Not while the use of the primary is suspended.
   */
  public boolean mayAcknowledgeWrite(String group, String database, long term) {
    @Nullable PrimaryRecord record = records.get(group);
    return record != null
        && confirmation.holds()
        && !suspendedGroups.contains(group)
        && record.term() == term
        && record.database().equals(database)
        && (!record.changing() || awaitedByTheChange(group));
  }

  private boolean awaitedByTheChange(String group) {
    @Nullable BooleanSupplier confirmed = unacknowledgedRevocations.get(group);
    return confirmed != null && confirmed.getAsBoolean();
  }

  /** Must be called when this host acknowledges the revocation of a group's primary. */
  public void revocationAcknowledged(String group) {
    unacknowledgedRevocations.remove(group);
  }

  /** Returns how many writes and commits of a group were sent to the primary and not answered. */
  public int writesInProgress(String group) {
    return writesInProgress.getOrDefault(group, 0);
  }

  /** Must be called when a write or commit is sent to the primary of a group. */
  public void writeStarted(String group) {
    writesInProgress.merge(group, 1, Integer::sum);
  }

  /** Must be called once the answer to a write or commit was processed. */
  public void writeEnded(String group) {
    int remaining = writesInProgress.merge(group, -1, Integer::sum);
    if (remaining == 0) {
      @Nullable List<Runnable> tasks = writesFinishedTasks.remove(group);
      if (tasks != null) {
        tasks.forEach(Runnable::run);
      }
    }
  }

  /** Runs a task once no write of the group is in progress; at once if none is. */
  public void whenWritesFinished(String group, Runnable task) {
    if (writesInProgress(group) == 0) {
      task.run();
    } else {
      writesFinishedTasks.computeIfAbsent(group, key -> new ArrayList<>()).add(task);
    }
  }
}
