package org.pollenspar.core.connection;

import java.util.ArrayDeque;
import java.util.Iterator;
import org.jspecify.annotations.Nullable;

/**
 * Ends of a primary's log with the time at which they were known to cover every acknowledged write.
 *
 * <p>An answer of the primary carries the end of its log. That end includes every write that was
 * acknowledged before the request was sent, so the time of sending is when the sample was true. A
 * read that accepts data of some age may run on any log that includes a sample of that age: the
 * oldest such sample demands least of the replicas.
 */
public final class PositionHistory {
  private static final int LIMIT = 64;
  private static final long SPACING_NANOS = 50_000_000L;

  private record Sample(Position position, long sentNanos) {}

  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  /** Adds the end of the log in an answer to a request sent at {@code sentNanos}. */
  public void add(Position position, long sentNanos) {
    @Nullable Sample last = samples.peekLast();
    if (last != null && position.term() < last.position().term()) {
      return;
    }
    if (last != null && sentNanos - last.sentNanos() <= 0) {
      return;
    }
    if (last != null && samples.size() > 1 && crowded(sentNanos)) {
      samples.removeLast();
    }
    samples.addLast(new Sample(position, sentNanos));
    if (samples.size() > LIMIT) {
      samples.removeFirst();
    }
  }

  /** Returns whether the two latest samples are closer than the spacing. */
  private boolean crowded(long sentNanos) {
    Iterator<Sample> newestFirst = samples.descendingIterator();
    newestFirst.next();
    return sentNanos - newestFirst.next().sentNanos() < SPACING_NANOS;
  }

  /**
   * Returns the least position that covers every write acknowledged up to {@code sinceNanos}; null
   * if no sample is recent enough.
   */
  public @Nullable Position covering(long sinceNanos) {
    for (Sample sample : samples) {
      if (sample.sentNanos() - sinceNanos >= 0) {
        return sample.position();
      }
    }
    return null;
  }

  /** Returns the latest end of the log; null before the first sample. */
  public @Nullable Position latest() {
    @Nullable Sample last = samples.peekLast();
    return last == null ? null : last.position();
  }

  /** Forgets everything, for example when another database leads. */
  public void clear() {
    samples.clear();
  }
}
