package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.Position;

/**
 * Which databases of the {@link ReplicaSet} have reported what they hold during one change of a
 * primary.
 *
 * <p>With synchronous replication, an acknowledged write may be on a single replica, even on one
 * that drains or whose registration has lapsed. So unless the old primary reports its position,
 * every database of the set must report its own.
 *
 * <p>A database that has started again under its id holds nothing of before. Its answer is not the
 * report of the earlier incarnation, which never comes. But the answer may precede the registration
 * that shows the start. So an incarnation has reported only if it is still the registered one some
 * time after its first answer, and if no later answer shows a shorter log.
 */
final class ReplicaReports {
  /** Time in which a database that has started is registered, and the registration arrives. */
  private static final long REGISTRATION_MS = 1_500;

  private final ControlContext context;
  private final String group;
  private final Map<String, Report> reports = new HashMap<>();

  /** The answers of one incarnation. */
  private static final class Report {
    final long firstNanos;
    Position longest;
    boolean shortened;

    Report(long firstNanos, Position longest) {
      this.firstNanos = firstNanos;
      this.longest = longest;
    }
  }

  ReplicaReports(ControlContext context, String group) {
    this.context = context;
    this.group = group;
  }

  /** Must be called with each answer of a database, and with its registration of that time. */
  void answered(DatabaseControl.Candidate database, DatabaseControl.DatabaseStatus status) {
    Report report =
        reports.computeIfAbsent(
            database.incarnation(),
            key -> new Report(context.clocks().steadyNanos(), status.received()));
    report.shortened |= status.received().compareTo(report.longest) < 0;
    report.longest = report.longest.max(status.received());
  }

  /**
   * Returns the position that the old primary reports; null if it doesn't answer. With synchronous
   * replication, an empty log isn't reported, since the primary may have started again without its
   * own.
   */
  @Nullable Position reported(DatabaseControl.@Nullable DatabaseStatus status) {
    boolean synchronous = context.databases().syncReplicas(group) > 0;
    if (status == null || (synchronous && status.received().term() == 0)) {
      return null;
    }
    return status.received();
  }

  /**
   * Returns the incarnations that have not reported, without those of the old primary.
   *
   * @param answering ids of the databases that answer now, among which one is chosen
   */
  List<String> awaited(String oldPrimary, Set<String> answering) {
    Set<String> present = new HashSet<>();
    for (DatabaseControl.Candidate each : context.databases().candidates(group)) {
      if (answering.contains(each.id())) {
        present.add(each.incarnation());
      }
    }
    List<String> awaited = new ArrayList<>();
    for (ReplicaSet.Replica each : new TreeMap<>(context.replicas(group).replicas()).values()) {
      if (!each.id().equals(oldPrimary)
          && !(present.contains(each.incarnation()) && hasReported(each))) {
        awaited.add(each.incarnation());
      }
    }
    return awaited;
  }

  private boolean hasReported(ReplicaSet.Replica replica) {
    Report report = reports.get(replica.incarnation());
    return report != null
        && !report.shortened
        && (replica.born() == 0 || age(report) >= REGISTRATION_MS);
  }

  private long age(Report report) {
    return (context.clocks().steadyNanos() - report.firstNanos) / 1_000_000;
  }
}
