package org.pollenspar.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.DatabaseState;

/** One database of {@link GroupModel}: a log, a fence, and the keys that open transactions hold. */
final class GroupModelDatabase {

  /**
   * A committed key record with its change.
   *
   * @param replaced whether a later term had a primary when it was committed
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

  /** Whether it is cut off from the other databases and from the platform. */
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
   * Copies up to {@code count} entries from a primary. A database that joins a term drops what the
   * primary's log does not have. It takes the log term only once it holds the log up to the start
   * of the term; taking it earlier would let a short log win the next promotion.
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
