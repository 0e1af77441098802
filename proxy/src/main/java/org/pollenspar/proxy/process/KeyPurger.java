package org.pollenspar.proxy.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.request.Access;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.Rank;
import org.pollenspar.core.request.Statement;
import org.pollenspar.core.request.WorkKind;
import org.pollenspar.core.request.WorkRequest;
import org.pollenspar.core.version.FleetFile;

/**
 * Deletes idempotency records that are older than the retention time. Works in small batches of the
 * least urgent rank, so that requests of callers go first: a read finds old keys, and a write
 * deletes their records.
 */
final class KeyPurger {
  /** Records per batch; few, so that a deletion holds its row locks for a few round trips only. */
  static final int BATCH = 50;

  private static final String KIND = "purge of keys";
  private static final String SESSION = "purge";
  private static final long DEADLINE_MILLIS = 5_000;

  /** Old records were created hours ago, so a replica that lags by minutes has them, too. */
  private static final long STALENESS_MILLIS = 600_000;

  private final Function<WorkRequest, CompletableFuture<Optional<Outcome>>> executor;
  private final Supplier<String> newKey;
  private final LongSupplier nowNanos;
  private final LongSupplier wallMillis;

  /**
   * Creates a purger.
   *
   * @param executor executes requests at the group's home on this proxy
   * @param newKey generates the idempotency keys of the deletions
   * @param nowNanos monotonic clock
   * @param wallMillis wall clock in milliseconds, for the age of records
   */
  KeyPurger(
      Function<WorkRequest, CompletableFuture<Optional<Outcome>>> executor,
      Supplier<String> newKey,
      LongSupplier nowNanos,
      LongSupplier wallMillis) {
    this.executor = executor;
    this.newKey = newKey;
    this.nowNanos = nowNanos;
    this.wallMillis = wallMillis;
  }

  /**
   * Deletes one batch of a group's old records.
   *
   * @return the number of records found; 0 if none was old enough or the read failed
   */
  CompletableFuture<Integer> purge(String group, FleetFile file) {
    Rank lowest =
        file.ranks().values().stream().max(Comparator.comparingInt(Rank::level)).orElseThrow();
    long cutoffMillis = wallMillis.getAsLong() - TimeUnit.HOURS.toMillis(file.keyRetentionHours());
    String select =
        "SELECT key FROM pollenspar.keys WHERE created_ms <= " + cutoffMillis + " LIMIT " + BATCH;
    return executor
        .apply(request(group, lowest, Access.READ, List.of(select)))
        .thenCompose(found -> delete(group, lowest, keys(found)));
  }

  private CompletableFuture<Integer> delete(String group, Rank lowest, List<String> keys) {
    if (keys.isEmpty()) {
      return CompletableFuture.completedFuture(0);
    }
    List<String> deletions =
        keys.stream()
            .map(key -> "DELETE FROM pollenspar.keys WHERE key = '" + key.replace("'", "''") + "'")
            .toList();
    return executor
        .apply(request(group, lowest, Access.WRITE, deletions))
        .thenApply(outcome -> keys.size());
  }

  private static List<String> keys(Optional<Outcome> found) {
    List<String> keys = new ArrayList<>();
    if (found.isPresent() && found.get() instanceof Outcome.Done done) {
      for (List<@Nullable String> row : done.results().get(0).rows()) {
        String key = row.get(0);
        if (key != null) {
          keys.add(key);
        }
      }
    }
    return keys;
  }

  private WorkRequest request(String group, Rank rank, Access access, List<String> sql) {
    long now = nowNanos.getAsLong();
    boolean read = access == Access.READ;
    WorkKind kind =
        new WorkKind(KIND, rank, access, read ? STALENESS_MILLIS : 0, true, DEADLINE_MILLIS);
    return new WorkRequest(
        now,
        group,
        kind,
        read ? Optional.empty() : Optional.of(newKey.get()),
        false,
        now,
        now + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS),
        SESSION,
        Position.ZERO,
        sql.stream().map(text -> new Statement(text, Statement.ANY_ROWS)).toList());
  }
}
