package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.Position;

/**
 * Keeps the {@link ReplicaSet} of each group with synchronous replication in the store, while this
 * host holds the failover lease.
 *
 * <p>A database is added as soon as it is registered. One whose registration has lapsed is removed
 * in two steps: the primary reports a position, and then another replica reports that it has
 * received that position. A database whose registration stays lapsed while the store is available
 * has ended, so every acknowledged write that it holds is below that position, and the other
 * replica holds it as well. Without a primary that answers, no such position is known, and the
 * database stays.
 *
 * <p>Removing a database when its registration lapses would be wrong: the primary and a replica may
 * crash together, and only these two may hold the last acknowledged writes.
 */
final class ReplicaSetRecorder {
  /** Registrations that lapsed during an outage of the store are back by then if possible. */
  private static final long LAPSED_MS = 2_500;

  /** Pause between queries of the databases; each query uses a slot of a database. */
  private static final long QUERY_INTERVAL_MS = 1_000;

  private final ControlContext context;
  private final Map<String, GroupRecord> groups = new HashMap<>();

  /** What is known of one group. */
  private static final class GroupRecord {
    boolean writing;
    boolean querying;
    Set<String> lapsed = Set.of();
    long lapsedSinceNanos;
    long queriedNanos;

    /** Position of the primary after the databases had lapsed; null until it is known. */
    @Nullable Position target;
  }

  ReplicaSetRecorder(ControlContext context) {
    this.context = context;
  }

  /** Forgets the query in progress, because the group's primary is being replaced. */
  void changeStarted(String group) {
    groups.remove(group);
  }

  /** Forgets all groups, because the failover lease was lost. */
  void leaseLost() {
    groups.clear();
  }

  /** Records changes of a group whose primary is not being replaced. */
  void check(PrimaryRecord primary, long fence) {
    if (context.databases().syncReplicas(primary.group()) == 0) {
      return;
    }
    String group = primary.group();
    GroupRecord state = groups.computeIfAbsent(group, key -> new GroupRecord());
    ReplicaSet next = context.replicas(group);
    Set<String> lapsed =
        next.unregistered(context.databases().candidates(group), primary.database());
    if (!lapsed.equals(state.lapsed)) {
      state.lapsed = Set.copyOf(lapsed);
      state.lapsedSinceNanos = now();
      state.target = null;
    }
    if (!next.encode().equals(context.table().value(ControlKeys.replicas(group)))) {
      write(state, group, next, fence);
    }
    if (!lapsed.isEmpty() && due(state)) {
      state.querying = true;
      state.queriedNanos = now();
      if (state.target == null) {
        queryPrimary(state, primary);
      } else {
        queryReplicas(state, primary, fence);
      }
    }
  }

  private boolean due(GroupRecord state) {
    return !state.querying
        && millisSince(state.lapsedSinceNanos) > LAPSED_MS
        && millisSince(state.queriedNanos) > QUERY_INTERVAL_MS;
  }

  private long now() {
    return context.clocks().steadyNanos();
  }

  private long millisSince(long nanos) {
    return (now() - nanos) / 1_000_000;
  }

  /** Returns whether an answer still belongs to the state that the group has now. */
  private boolean current(GroupRecord state, String group, Set<String> lapsed) {
    return groups.get(group) == state && state.lapsed.equals(lapsed);
  }

  private void queryPrimary(GroupRecord state, PrimaryRecord primary) {
    Set<String> lapsed = state.lapsed;
    context
        .databases()
        .status(
            primary.group(),
            primary.database(),
            status -> {
              state.querying = false;
              boolean leads = status != null && status.primary() && status.term() == primary.term();
              if (leads && current(state, primary.group(), lapsed)) {
                state.target = status.received();
              }
            });
  }

  private void queryReplicas(GroupRecord state, PrimaryRecord primary, long fence) {
    Set<String> lapsed = state.lapsed;
    @Nullable Position target = state.target;
    List<DatabaseControl.Candidate> others = new ArrayList<>();
    for (DatabaseControl.Candidate each : context.databases().candidates(primary.group())) {
      if (!each.id().equals(primary.database())) {
        others.add(each);
      }
    }
    int[] remaining = {others.size()};
    boolean[] received = {false};
    state.querying = remaining[0] > 0;
    for (DatabaseControl.Candidate each : others) {
      context
          .databases()
          .status(
              primary.group(),
              each.id(),
              status -> {
                if (status != null && target != null && status.received().includes(target)) {
                  received[0] = true;
                }
                remaining[0]--;
                if (remaining[0] > 0) {
                  return;
                }
                state.querying = false;
                if (received[0] && current(state, primary.group(), lapsed)) {
                  remove(state, primary.group(), lapsed, fence);
                }
              });
    }
  }

  private void remove(GroupRecord state, String group, Set<String> lapsed, long fence) {
    Set<String> stillLapsed =
        context.replicas(group).unregistered(context.databases().candidates(group), "");
    stillLapsed.retainAll(lapsed);
    write(state, group, context.replicas(group).without(stillLapsed), fence);
  }

  /** Writes a set unless it or the failover lease was changed by another host. */
  private void write(GroupRecord state, String group, ReplicaSet replicas, long fence) {
    if (state.writing) {
      return;
    }
    state.writing = true;
    String key = ControlKeys.replicas(group);
    String value = replicas.encode();
    context
        .store()
        .transact(
            List.of(
                new CoordinationStore.Expectation(key, context.table().revision(key)),
                new CoordinationStore.Expectation(ControlKeys.FAILOVER_LEASE, fence)),
            List.of(new CoordinationStore.Put(key, value, 0)),
            List.of(),
            reply -> {
              state.writing = false;
              if (reply.done()) {
                context
                    .table()
                    .apply(new CoordinationStore.Item(key, value, reply.revision(), false));
                context.listener().changed("replicas_recorded", group, value);
              }
            });
  }
}
