package org.pollenspar.edge.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.DatabaseEntry;
import org.pollenspar.core.process.Timers;

/**
 * The registered databases by group.
 *
 * <p>A registration may lapse while the store is down, although its database still runs, and return
 * once the store is available again. So a database stays in the directory for a grace time after
 * its registration was removed, and is not removed if it registers again within that time.
 *
 * <p>For groups with synchronous replication, databases are remembered after that time too, since
 * one that crashed may hold the only replica's copy of an acknowledged write.
 */
final class DatabaseDirectory {
  /** Live databases register again within 2 s after the store has become available. */
  static final long REGISTRATION_GRACE_MS = 2_500;

  private final Timers timers;

  /** Receives the name of a group whose databases or their registrations changed. */
  private final Consumer<String> onGroupChanged;

  private final Map<String, DatabaseEntry> entries = new HashMap<>();
  private final Map<String, Timers.Timer> removals = new HashMap<>();
  private final Predicate<String> synchronous;

  /** Databases of groups with synchronous replication that are not registered any more. */
  private final List<DatabaseEntry> lapsed = new ArrayList<>();

  /**
   * Creates an empty directory.
   *
   * @param synchronous whether a group has synchronous replication
   */
  DatabaseDirectory(Timers timers, Predicate<String> synchronous, Consumer<String> onGroupChanged) {
    this.timers = timers;
    this.synchronous = synchronous;
    this.onGroupChanged = onGroupChanged;
  }

  void registered(DatabaseEntry entry) {
    Timers.@Nullable Timer removal = removals.remove(entry.id());
    if (removal != null) {
      removal.cancel();
    }
    lapsed.removeIf(each -> each.sameIncarnation(entry) || isSuccessor(entry, each));
    @Nullable DatabaseEntry known = entries.put(entry.id(), entry);
    if (known != null && known.born() != 0 && !known.sameIncarnation(entry)) {
      remember(known);
    }
    if (known != null && !known.group().equals(entry.group())) {
      onGroupChanged.accept(known.group());
    }
    if (!entry.equals(known)) {
      onGroupChanged.accept(entry.group());
    }
  }

  /** Returns whether a database has taken over the address and the log of one that has drained. */
  private static boolean isSuccessor(DatabaseEntry entry, DatabaseEntry old) {
    return old.draining()
        && !old.id().equals(entry.id())
        && old.group().equals(entry.group())
        && old.host().equals(entry.host())
        && old.port() == entry.port();
  }

  void unregistered(String id) {
    @Nullable DatabaseEntry entry = entries.get(id);
    if (entry != null && !removals.containsKey(id)) {
      remember(entry);
      removals.put(id, timers.after(REGISTRATION_GRACE_MS, () -> remove(id)));
    }
  }

  private void remember(DatabaseEntry entry) {
    if (synchronous.test(entry.group()) && lapsed.stream().noneMatch(entry::sameIncarnation)) {
      lapsed.add(entry);
    }
  }

  /**
   * Returns the databases of a group that were registered and have not been forgotten since, also
   * those that have started again under their id.
   */
  List<DatabaseEntry> lapsed(String group) {
    return lapsed.stream().filter(entry -> entry.group().equals(group)).toList();
  }

  /** Forgets incarnations of databases whose registration has lapsed. */
  void forgetLapsed(Set<String> incarnations) {
    lapsed.removeIf(each -> incarnations.contains(each.incarnation()));
  }

  /** Returns whether the database is registered now, that is, not in its grace time. */
  boolean isRegistered(String id) {
    return entries.containsKey(id) && !removals.containsKey(id);
  }

  private void remove(String id) {
    removals.remove(id);
    @Nullable DatabaseEntry entry = entries.remove(id);
    if (entry != null) {
      onGroupChanged.accept(entry.group());
    }
  }

  Collection<String> ids() {
    return List.copyOf(entries.keySet());
  }

  /** Returns how many statements a database of a group runs at once; 1 if none is registered. */
  int slots(String group) {
    return inGroup(group).stream().mapToInt(DatabaseEntry::capacity).max().orElse(1);
  }

  List<DatabaseEntry> inGroup(String group) {
    List<DatabaseEntry> result = new ArrayList<>();
    for (DatabaseEntry entry : entries.values()) {
      if (entry.group().equals(group)) {
        result.add(entry);
      }
    }
    return result;
  }
}
