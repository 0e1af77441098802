package org.pollenspar.core.process;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;

/**
 * The most recent events of the store, bounded in number and size.
 *
 * <p>Invariant: it holds every event after {@code from} up to {@code to}, deletions included.
 * Revisions at which no key changed have no event but lie within these bounds.
 */
final class WatchHistory {
  private static final int MAX_ITEMS = 4_096;
  private static final int MAX_BYTES = 2 << 20;

  /** Counted for each item in addition to its text, for objects and references. */
  private static final int ITEM_OVERHEAD_BYTES = 64;

  private final ArrayDeque<CoordinationStore.Item> items = new ArrayDeque<>();
  private boolean begun;
  private long from;
  private long to;
  private long bytes;

  /** Forgets everything; {@link #completeAfter} holds for no revision until the next begin. */
  void clear() {
    begun = false;
    items.clear();
    bytes = 0;
  }

  /** Records that a watch begins after a revision. A gap to what is held empties the history. */
  void begin(long afterRevision) {
    if (!begun || afterRevision > to) {
      clear();
      begun = true;
      from = afterRevision;
      to = afterRevision;
    }
  }

  /**
   * Adds the events of a watch that began with {@link #begin}.
   *
   * @param events in the order of their revisions; those that are held already are skipped
   * @param revision revision up to which the events are complete
   */
  void add(List<CoordinationStore.Item> events, long revision) {
    long known = to;
    for (CoordinationStore.Item event : events) {
      if (event.revision() > known) {
        items.add(event);
        bytes += size(event);
        to = Math.max(to, event.revision());
      }
    }
    to = Math.max(to, revision);
    while (items.size() > MAX_ITEMS || bytes > MAX_BYTES) {
      CoordinationStore.Item oldest = items.remove();
      bytes -= size(oldest);
      // Another event of this revision may remain; it is never asked for.
      from = oldest.revision();
    }
  }

  private static long size(CoordinationStore.Item item) {
    return ITEM_OVERHEAD_BYTES + 2L * (item.key().length() + item.value().length());
  }

  /** Returns whether no event after a revision is missing up to {@link #revision}. */
  boolean completeAfter(long afterRevision) {
    return begun && afterRevision >= from;
  }

  /** Returns the held events after a revision, in order. */
  List<CoordinationStore.Item> after(long afterRevision) {
    ArrayDeque<CoordinationStore.Item> newer = new ArrayDeque<>();
    Iterator<CoordinationStore.Item> backwards = items.descendingIterator();
    while (backwards.hasNext()) {
      CoordinationStore.Item item = backwards.next();
      if (item.revision() <= afterRevision) {
        break;
      }
      newer.addFirst(item);
    }
    return List.copyOf(newer);
  }

  /** Returns the revision up to which the events are complete. */
  long revision() {
    return to;
  }
}
