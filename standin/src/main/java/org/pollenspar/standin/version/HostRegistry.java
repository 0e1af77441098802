package org.pollenspar.standin.version;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;

/**
 * The actual host list and the published one. A change takes effect in the published list only with
 * a later call of {@link #publish}; the time between the two simulates the lag of a platform's host
 * list.
 */
public final class HostRegistry {
  private final List<Watch> watches = new ArrayList<>();
  private List<Host> actual;
  private long actualSequence = 1;
  private HostList published;

  private record Watch(long after, long endMillis, CompletableFuture<HostList> answer) {}

  /** Creates the registry with an initial list, which is published at once. */
  public HostRegistry(List<Host> hosts) {
    actual = List.copyOf(hosts);
    published = new HostList(actualSequence, actual);
  }

  /** Changes the actual list and returns it; the caller publishes it later. */
  public synchronized HostList change(UnaryOperator<List<Host>> change) {
    actual = List.copyOf(change.apply(new ArrayList<>(actual)));
    actualSequence++;
    return new HostList(actualSequence, actual);
  }

  /**
   * Publishes a list and completes the watches that wait for it. Has no effect if this or a later
   * revision is published already.
   */
  public synchronized void publish(HostList list) {
    if (list.revision() <= published.revision()) {
      return;
    }
    published = list;
    for (Watch watch : List.copyOf(watches)) {
      if (list.revision() > watch.after()) {
        watches.remove(watch);
        watch.answer().complete(list);
      }
    }
  }

  public synchronized HostList published() {
    return published;
  }

  /**
   * Returns a future that completes with the first published list whose revision exceeds {@code
   * after}, or with the list published when {@link #expire} is called with {@code endMillis} or
   * later.
   */
  public synchronized CompletableFuture<HostList> watch(long after, long endMillis) {
    if (published.revision() > after) {
      return CompletableFuture.completedFuture(published);
    }
    Watch watch = new Watch(after, endMillis, new CompletableFuture<>());
    watches.add(watch);
    return watch.answer();
  }

  /** Completes the watches whose end is reached with the published list. */
  public synchronized void expire(long nowMillis) {
    for (Watch watch : List.copyOf(watches)) {
      if (watch.endMillis() <= nowMillis) {
        watches.remove(watch);
        watch.answer().complete(published);
      }
    }
  }
}
