package org.pollenspar.core.connection;

import java.util.ArrayDeque;
import java.util.Iterator;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ClockReading;

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
 * <p>Ages are those of {@link ClockReading}, since the steady clock stands still while the host is
 * suspended and a sample would look as recent afterwards as before.
 *
 * <p>At most {@link #MAX_SAMPLES} samples are kept, ordered by time and term. A new sample replaces
 * the latest one if it was sent less than the minimum spacing after the second-latest one.
 */
public final class PositionHistory {
  private static final int MAX_SAMPLES = 64;
  private static final long MIN_SPACING_NANOS = 50_000_000L;

  private record Sample(Position position, ClockReading sentAt) {}

  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  /**
   * Adds the end of the log that an answer to a request sent at {@code sentAt} carried. Ignores
   * answers to requests that were sent no later than the last one, and answers whose position is
   * before the last one. A log doesn't become shorter, so such a position was not its end when it
   * was stated, or the answer overtook another one.
   */
  public void add(Position position, ClockReading sentAt) {
    @Nullable Sample last = samples.peekLast();
    if (last != null && position.compareTo(last.position()) < 0) {
      return;
    }
    if (last != null && sentAt.steadyNanos() - last.sentAt().steadyNanos() <= 0) {
      return;
    }
    if (last != null && samples.size() > 1 && tooClose(sentAt)) {
      samples.removeLast();
    }
    samples.addLast(new Sample(position, sentAt));
    if (samples.size() > MAX_SAMPLES) {
      samples.removeFirst();
    }
  }

  /** Returns whether the second-latest sample was sent less than the spacing before this time. */
  private boolean tooClose(ClockReading sentAt) {
    Iterator<Sample> newestFirst = samples.descendingIterator();
    newestFirst.next();
    return newestFirst.next().sentAt().nanosUntil(sentAt) < MIN_SPACING_NANOS;
  }

  /**
   * Returns the least position that covers every write acknowledged up to {@code maxAgeNanos}
   * before {@code now}; null if no sample is recent enough.
   *
   * <p>A sample counts only if all later ones are recent enough too. If the time of day was set
   * back before a suspension, the later ones show the suspension and the earlier one doesn't.
   */
  public @Nullable Position covering(ClockReading now, long maxAgeNanos) {
    @Nullable Position covering = null;
    Iterator<Sample> newestFirst = samples.descendingIterator();
    while (newestFirst.hasNext()) {
      Sample sample = newestFirst.next();
      if (sample.sentAt().nanosUntil(now) > maxAgeNanos) {
        break;
      }
      covering = sample.position();
    }
    return covering;
  }

  /** Returns the latest sample; null if there is none. */
  public @Nullable Position latest() {
    @Nullable Sample last = samples.peekLast();
    return last == null ? null : last.position();
  }
}
