package org.pollenspar.standin.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * An in-memory coordination store: keys with values, revisions, leases and watches. The store reads
 * no clock: leases and watches expire only when {@link #expire} is called with a time at or after
 * their end.
 */
public final class KeyValueStore {
  private final Map<String, StoredEntry> entries = new HashMap<>();
  private final Map<String, Lease> leases = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision;
  private long nextLease;

  /**
   * The value of a key, its revision and the id of the lease whose expiry deletes it (empty for
   * none).
   */
  public record StoredEntry(String value, long revision, String lease) {}

  /** Whether a compare-and-swap was applied, and the revision of the key after it. */
  public record CompareAndSwapResult(boolean applied, long revision) {}

  private record Lease(long ttlMillis, long endMillis) {}

  private record Watch(
      String key, long after, long endMillis, CompletableFuture<Optional<StoredEntry>> answer) {}

  public synchronized Optional<StoredEntry> read(String key) {
    return Optional.ofNullable(entries.get(key));
  }

  /**
   * Writes a key if its revision equals the expected one and the lease, unless empty, exists.
   *
   * @param expectedRevision 0 if the key must not exist
   */
  public synchronized CompareAndSwapResult compareAndSwap(
      String key, String value, long expectedRevision, String lease) {
    StoredEntry current = entries.get(key);
    long currentRevision = current == null ? 0 : current.revision();
    boolean leaseKnown = lease.isEmpty() || leases.containsKey(lease);
    if (currentRevision != expectedRevision || !leaseKnown) {
      return new CompareAndSwapResult(false, currentRevision);
    }
    revision++;
    StoredEntry entry = new StoredEntry(value, revision, lease);
    entries.put(key, entry);
    for (Watch watch : List.copyOf(watches)) {
      if (watch.key().equals(key) && revision > watch.after()) {
        watches.remove(watch);
        watch.answer().complete(Optional.of(entry));
      }
    }
    return new CompareAndSwapResult(true, revision);
  }

  /** Creates a lease and returns its id. */
  public synchronized String createLease(long ttlMillis, long nowMillis) {
    nextLease++;
    String id = "lease-" + nextLease;
    leases.put(id, new Lease(ttlMillis, nowMillis + ttlMillis));
    return id;
  }

  /** Renews a lease; returns false if it has expired or never existed. */
  public synchronized boolean renewLease(String id, long nowMillis) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return false;
    }
    leases.put(id, new Lease(lease.ttlMillis(), nowMillis + lease.ttlMillis()));
    return true;
  }

  /**
   * Returns a future that completes with the entry once its revision exceeds {@code after}, or
   * empty when the watch expires.
   */
  public synchronized CompletableFuture<Optional<StoredEntry>> watch(
      String key, long after, long endMillis) {
    StoredEntry current = entries.get(key);
    if (current != null && current.revision() > after) {
      return CompletableFuture.completedFuture(Optional.of(current));
    }
    Watch watch = new Watch(key, after, endMillis, new CompletableFuture<>());
    watches.add(watch);
    return watch.answer();
  }

  /** Deletes the leases that have expired together with their keys, and ends expired watches. */
  public synchronized void expire(long nowMillis) {
    leases.values().removeIf(lease -> lease.endMillis() <= nowMillis);
    entries
        .values()
        .removeIf(entry -> !entry.lease().isEmpty() && !leases.containsKey(entry.lease()));
    endWatches(nowMillis);
  }

  /** Completes all watches with an empty result, as an outage of the store does. */
  public synchronized void endAllWatches() {
    endWatches(Long.MAX_VALUE);
  }

  private void endWatches(long nowMillis) {
    for (Watch watch : List.copyOf(watches)) {
      if (watch.endMillis() <= nowMillis) {
        watches.remove(watch);
        watch.answer().complete(Optional.empty());
      }
    }
  }
}
