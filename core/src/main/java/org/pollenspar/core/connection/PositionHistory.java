package org.pollenspar.core.connection;

import java.util.ArrayDeque;
import java.util.Iterator;
import org.jspecify.annotations.Nullable;

/**
 * History of samples of the end of a primary's log, each with a time up to which it covers every
 * acknowledged write.
 *
 * <p>An answer of the primary carries the end of its log. That end includes every write that was
 * acknowledged before the request was sent, so the time of sending is the time of the sample. A
 * read that accepts data of a limited age may run on any database whose log includes a sample that
 * is not older than the limit. The oldest such sample is the condition that most replicas meet.
 *
 * <p>A sample also holds after the primary was replaced. A write that the new primary lacks was
 * rolled back, and the new primary acknowledges none before the old one may no longer be used, so a
 * sample of the old one never covers the time of a write of the new one.
 *
 * <p>At most {@link #MAX_SAMPLES} samples are kept, ordered by time and term. A new sample replaces
 * the latest one if it was sent less than the minimum spacing after the second-latest one.
 */
public final class PositionHistory {
  private static final int MAX_SAMPLES = 64;
  private static final long MIN_SPACING_NANOS = 50_000_000L;

  private record Sample(Position position, long sentNanos) {}

  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  /**
   * Adds the end of the log that an answer to a request sent at {@code sentNanos} carried. Ignores
   * answers to requests that were sent no later than the last one, and answers whose position is
   * before the last one. A log doesn't become shorter, so such a position was not its end when it
   * was stated, or the answer overtook another one.
   */
  public void add(Position position, long sentNanos) {
    @Nullable Sample last = samples.peekLast();
    if (last != null && position.compareTo(last.position()) < 0) {
      return;
    }
    if (last != null && sentNanos - last.sentNanos() <= 0) {
      return;
    }
    if (last != null && samples.size() > 1 && tooClose(sentNanos)) {
      samples.removeLast();
    }
    samples.addLast(new Sample(position, sentNanos));
    if (samples.size() > MAX_SAMPLES) {
      samples.removeFirst();
    }
  }

  /** Returns whether the second-latest sample was sent less than the spacing before this time. */
  private boolean tooClose(long sentNanos) {
    Iterator<Sample> newestFirst = samples.descendingIterator();
    newestFirst.next();
    return sentNanos - newestFirst.next().sentNanos() < MIN_SPACING_NANOS;
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

  /** Returns the latest sample; null if there is none. */
  public @Nullable Position latest() {
    @Nullable Sample last = samples.peekLast();
    return last == null ? null : last.position();
  }
}
