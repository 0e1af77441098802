package org.pollenspar.core.process;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.DatabaseEntry;

/**
 * The databases of one group that may hold the only replica's copy of an acknowledged write, as the
 * store records them for the next holder of the failover lease.
 *
 * <p>The registrations do not show these databases: that of a crashed database lapses after some
 * seconds, but its log comes back with it. So a database stays in the set when its registration
 * lapses. It leaves when a new database takes over its address and its log after it has drained,
 * and when {@link ReplicaSetRecorder} has seen that the others have received everything that it may
 * hold. A database that starts again under its id holds nothing of before, so it is another one
 * here, and its earlier incarnation stays in the set like a database that has lapsed. Immutable.
 *
 * @param replicas databases by incarnation, the primary among them
 * @param removed incarnations that the last write of the record removed; hosts that saw one of them
 *     lapse need not remember it any longer
 */
record ReplicaSet(Map<String, Replica> replicas, Set<String> removed) {
  static final ReplicaSet EMPTY = new ReplicaSet(Map.of(), Set.of());

  private static final JsonMapper JSON = new JsonMapper();

  /**
   * A database as it was last registered.
   *
   * @param address IP address and port; a database that drains hands it on with its log
   * @param born when it was started, in milliseconds since 1970; 0 if unknown
   */
  record Replica(String id, String address, boolean draining, long born) {
    static Replica of(DatabaseControl.Candidate candidate) {
      return new Replica(
          candidate.id(), candidate.address(), candidate.draining(), candidate.born());
    }

    String incarnation() {
      return DatabaseEntry.incarnation(id, born);
    }
  }

  ReplicaSet {
    replicas = Map.copyOf(replicas);
    removed = Set.copyOf(removed);
  }

  /** Decodes the stored value; an empty set if there is none or if it isn't valid. */
  static ReplicaSet decode(@Nullable String value) {
    if (value == null) {
      return EMPTY;
    }
    Map<String, Replica> replicas = new TreeMap<>();
    Set<String> removed = new TreeSet<>();
    try {
      StoredValue record = StoredValue.parse(value);
      for (StoredValue each : record.objects("databases")) {
        Replica replica =
            new Replica(
                each.text("id"),
                each.text("address"),
                each.flag("draining"),
                each.number("born", 0, Long.MAX_VALUE, 0));
        replicas.put(replica.incarnation(), replica);
      }
      for (StoredValue each : record.objects("removed")) {
        removed.add(each.text("id"));
      }
    } catch (StoredValue.InvalidException e) {
      return EMPTY;
    }
    return new ReplicaSet(replicas, removed);
  }

  String encode() {
    ObjectNode node = JSON.createObjectNode();
    ArrayNode databases = node.putArray("databases");
    for (Replica each : new TreeMap<>(replicas).values()) {
      ObjectNode database = databases.addObject();
      database.put("id", each.id());
      database.put("address", each.address());
      if (each.draining()) {
        database.put("draining", true);
      }
      if (each.born() != 0) {
        database.put("born", each.born());
      }
    }
    if (!removed.isEmpty()) {
      ArrayNode ids = node.putArray("removed");
      new TreeSet<>(removed).forEach(id -> ids.addObject().put("id", id));
    }
    return node.toString();
  }

  /**
   * Returns the set with databases that were seen beside the recorded ones.
   *
   * @param lapsed databases whose registration has lapsed
   * @param registered databases that are registered now
   */
  ReplicaSet with(
      Collection<DatabaseControl.Candidate> lapsed,
      Collection<DatabaseControl.Candidate> registered) {
    Map<String, Replica> next = new TreeMap<>(replicas);
    lapsed.forEach(each -> next.put(each.incarnation(), Replica.of(each)));
    registered.forEach(each -> next.put(each.incarnation(), Replica.of(each)));
    next.values()
        .removeIf(
            each ->
                registered.stream()
                    .anyMatch(other -> isSuccessor(other, each) || completes(other, each)));
    return new ReplicaSet(next, removed);
  }

  /** Returns whether a database has taken over the address and the log of one that has drained. */
  private static boolean isSuccessor(DatabaseControl.Candidate database, Replica old) {
    return old.draining()
        && !database.id().equals(old.id())
        && database.address().equals(old.address());
  }

  /** Returns whether a registration tells the time of start that was unknown. */
  private static boolean completes(DatabaseControl.Candidate database, Replica known) {
    return known.born() == 0 && database.born() != 0 && database.id().equals(known.id());
  }

  /** Returns the set without these incarnations, as a record of their removal. */
  ReplicaSet without(Set<String> incarnations) {
    Map<String, Replica> next = new TreeMap<>(replicas);
    next.keySet().removeAll(incarnations);
    return new ReplicaSet(next, incarnations);
  }

  /** Returns the incarnations that are not registered, but for those of one database. */
  Set<String> unregistered(Collection<DatabaseControl.Candidate> registered, String exceptId) {
    Set<String> result = new TreeSet<>();
    for (Replica each : replicas.values()) {
      if (!each.id().equals(exceptId)) {
        result.add(each.incarnation());
      }
    }
    registered.forEach(each -> result.remove(each.incarnation()));
    return result;
  }
}
