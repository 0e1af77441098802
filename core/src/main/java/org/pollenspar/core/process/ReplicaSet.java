package org.pollenspar.core.process;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * The databases of one group that may hold the only replica's copy of an acknowledged write, as the
 * store records them for the next holder of the failover lease.
 *
 * <p>The registrations do not show these databases: that of a crashed database lapses after some
 * seconds, but its log comes back with it. So a database stays in the set when its registration
 * lapses. It leaves when a new database takes over its address and its log after it has drained,
 * and when {@link ReplicaSetRecorder} has seen that the others have received everything that it may
 * hold. Immutable.
 *
 * @param replicas databases by id, the primary among them
 * @param removed ids that the last write of the record removed; hosts that saw one of them lapse
 *     need not remember it any longer
 */
record ReplicaSet(Map<String, Replica> replicas, Set<String> removed) {
  static final ReplicaSet EMPTY = new ReplicaSet(Map.of(), Set.of());

  private static final JsonMapper JSON = new JsonMapper();

  /**
   * A database as it was last registered.
   *
   * @param address IP address and port; a database that drains hands it on with its log
   */
  record Replica(String id, String address, boolean draining) {
    static Replica of(DatabaseControl.Candidate candidate) {
      return new Replica(candidate.id(), candidate.address(), candidate.draining());
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
        String id = each.text("id");
        replicas.put(id, new Replica(id, each.text("address"), each.flag("draining")));
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
    lapsed.forEach(each -> next.put(each.id(), Replica.of(each)));
    registered.forEach(each -> next.put(each.id(), Replica.of(each)));
    Set<String> ids = new TreeSet<>();
    Set<String> addresses = new TreeSet<>();
    for (DatabaseControl.Candidate each : registered) {
      ids.add(each.id());
      addresses.add(each.address());
    }
    next.values()
        .removeIf(
            each ->
                each.draining() && !ids.contains(each.id()) && addresses.contains(each.address()));
    return new ReplicaSet(next, removed);
  }

  /** Returns the set without these databases, as a record of their removal. */
  ReplicaSet without(Set<String> ids) {
    Map<String, Replica> next = new TreeMap<>(replicas);
    next.keySet().removeAll(ids);
    return new ReplicaSet(next, ids);
  }

  /** Returns the ids that are not registered. */
  Set<String> unregistered(Collection<DatabaseControl.Candidate> registered) {
    Set<String> result = new TreeSet<>(replicas.keySet());
    registered.forEach(each -> result.remove(each.id()));
    return result;
  }

  /** Returns the ids in order, without that of one database. */
  List<String> idsExcept(String id) {
    List<String> ids = new ArrayList<>(new TreeSet<>(replicas.keySet()));
    ids.remove(id);
    return ids;
  }
}
