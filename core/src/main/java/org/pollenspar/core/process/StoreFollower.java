package org.pollenspar.core.process;

import java.util.List;
import java.util.function.Consumer;

/**
 * Keeps a copy of the store up to date: reads all keys once, then watches all keys.
 *
 * <p>All keys are followed by one watch: each call to the store has a cost, and one watch returns
 * no more often than several watches together.
 *
 * <p>If a watch fails, events may be missing, because the store keeps only a limited history. Then
 * everything is read again. Reads and watches may overlap, so an item may be delivered twice, but
 * none is lost.
 *
 * <p>Not thread-safe: all calls come from the thread that runs the {@link Timers}.
 */
public final class StoreFollower {
  static final String ALL_KEYS = "";
  private static final long MIN_RETRY_DELAY_MS = 100;
  private static final long MAX_RETRY_DELAY_MS = 800;

  /** Waits for events after a revision. */
  interface Source {
    /**
     * Passes events in order, none if the wait is over, or a status other than {@link
     * CoordinationStore.Status#DONE} if events after the revision may be lost.
     */
    void watch(long afterRevision, Consumer<CoordinationStore.Reply> done);
  }

  /** Receives what the store contains. */
  public interface Listener {
    /** Called with all items after a complete read; keys that are missing don't exist. */
    void loaded(List<CoordinationStore.Item> items);

    /** Called for each event. */
    void changed(CoordinationStore.Item item);

    /** Called when events after a revision may be lost; everything is read again. */
    void eventsLost(CoordinationStore.Status status, long afterRevision);
  }

  private final CoordinationStore store;
  private final Source source;
  private final Listener listener;
  private final Timers timers;
  private long retryDelayMillis = MIN_RETRY_DELAY_MS;

  public StoreFollower(
      CoordinationStore store, SharedWatch source, Listener listener, Timers timers) {
    this.store = store;
    this.source = source;
    this.listener = listener;
    this.timers = timers;
  }

  /** Reads all keys and then watches them; repeats the read until it succeeds. */
  public void start() {
    store.range(
        ALL_KEYS,
        reply -> {
          if (!reply.done()) {
            timers.after(retryDelayMillis, this::start);
            retryDelayMillis = Math.min(MAX_RETRY_DELAY_MS, 2 * retryDelayMillis);
            return;
          }
          retryDelayMillis = MIN_RETRY_DELAY_MS;
          listener.loaded(reply.items());
          watch(reply.revision());
        });
  }

  private void watch(long revision) {
    source.watch(
        revision,
        reply -> {
          if (reply.done()) {
            reply.items().forEach(listener::changed);
            watch(nextRevision(revision, reply));
          } else {
            listener.eventsLost(reply.status(), revision);
            start();
          }
        });
  }

  /**
   * Returns the revision to watch from next. Changes that a watch without events may have missed
   * are asked for again, since the revision of such an answer is that of the store.
   */
  private static long nextRevision(long revision, CoordinationStore.Reply reply) {
    return reply.items().isEmpty() ? revision : Math.max(revision, reply.revision());
  }
}
