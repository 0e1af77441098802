package org.pollenspar.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.DatabaseState;

/**
 * One database of {@link GroupModel}: its log, its fence, and the keys that open transactions have
 * inserted, each with the id of the attempt.
 */
final class GroupModelDatabase {

  /**
   * A committed key record; the change that was committed with it is implied.
   *
   * @param replaced whether a later term already had a primary when it was committed
   */
  record Entry(
      long term, String key, String fingerprint, KeyRecord.Result result, boolean replaced) {
    boolean ran() {
      return result instanceof KeyRecord.Result.Ran;
    }
  }

  final String id;
  final List<Entry> log = new ArrayList<>();
  final Map<String, Long> locks = new HashMap<>();
  DatabaseRole role = DatabaseRole.REPLICA;
  long fencedTerm = 1;
  long logTerm = 1;

  /** Whether a network partition separates it from the other databases and from the platform. */
  boolean isolated;

  GroupModelDatabase(String id) {
    this.id = id;
  }

  DatabaseState state() {
    return new DatabaseState(id, role, fencedTerm, logTerm, log.size(), 1);
  }

  Optional<Entry> find(String key) {
    return log.stream().filter(entry -> entry.key.equals(key)).findFirst();
  }

  List<String> keysThatRan() {
    return log.stream().filter(Entry::ran).map(Entry::key).collect(Collectors.toList());
  }

  void promote(long term) {
    role = DatabaseRole.PRIMARY;
    logTerm = term;
  }

  void restartAsReplica() {
    role = DatabaseRole.REPLICA;
    locks.clear();
  }

  /**
   * Copies up to {@code count} entries from a primary. A database that joins a term first discards
   * the entries that the primary's log does not contain. It adopts the log term only once it holds
   * the log up to the start of the term; otherwise a short log could win the next promotion.
   *
   * @param start length of the primary's log at the start of its term
   */
  void follow(GroupModelDatabase primary, int start, int count) {
    if (fencedTerm > primary.logTerm || logTerm > primary.logTerm || primary == this) {
      return;
    }
    if (logTerm < primary.logTerm) {
      fencedTerm = primary.logTerm;
      role = DatabaseRole.REPLICA;
      locks.clear();
      int common = 0;
      while (common < Math.min(log.size(), primary.log.size())
          && log.get(common).equals(primary.log.get(common))) {
        common++;
      }
      log.subList(common, log.size()).clear();
    }
    int end = Math.min(primary.log.size(), log.size() + count);
    log.addAll(List.copyOf(primary.log.subList(log.size(), end)));
    if (log.size() >= start) {
      logTerm = primary.logTerm;
    }
  }
}
