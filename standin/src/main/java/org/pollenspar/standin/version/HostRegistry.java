package org.pollenspar.standin.version;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;

/**
 * The host list as it is and as it is published. A change is published by a later call of {@link
 * #publish}, which models the lag of the list.
 */
public final class HostRegistry {
  private final List<Watch> watches = new ArrayList<>();
  private List<Host> actual;
  private long actualSequence = 1;
  private HostList published;

  private record Watch(long after, long endMillis, CompletableFuture<HostList> answer) {}

  /** Creates the registry with its first list, which is published at once. */
  public HostRegistry(List<Host> hosts) {
    actual = List.copyOf(hosts);
    published = new HostList(actualSequence, actual);
  }

  /** Changes the actual list and returns it, to be published. */
  public synchronized HostList change(UnaryOperator<List<Host>> change) {
    actual = List.copyOf(change.apply(new ArrayList<>(actual)));
    actualSequence++;
    return new HostList(actualSequence, actual);
  }

  /** Publishes a list unless a later one was published. */
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

  /** Returns the published list. */
  public synchronized HostList published() {
    return published;
  }

  /** Waits for a list after a revision; the published one when the time is over. */
  public synchronized CompletableFuture<HostList> watch(long after, long endMillis) {
    if (published.revision() > after) {
      return CompletableFuture.completedFuture(published);
    }
    Watch watch = new Watch(after, endMillis, new CompletableFuture<>());
    watches.add(watch);
    return watch.answer();
  }

  /** Ends the watches that are due. */
  public synchronized void expire(long nowMillis) {
    for (Watch watch : List.copyOf(watches)) {
      if (watch.endMillis() <= nowMillis) {
        watches.remove(watch);
        watch.answer().complete(published);
      }
    }
  }
}
