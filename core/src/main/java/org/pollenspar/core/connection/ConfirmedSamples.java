package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Bounded history of samples of the primary's log. A sample is the position that the primary
 * reported and the time at which the probe was sent. See {@link GroupTracker} for what a confirmed
 * sample proves.
 *
 * <p>Dropping a sample never makes an answer wrong; it only makes a database look staler than it
 * is. When the history is full, every second sample of its older half is dropped, so recent times
 * stay exact and older ones become coarser.
 */
final class ConfirmedSamples {
  /**
   * Number of samples kept, of pending and of confirmed ones each. At one probe per millisecond the
   * exact half covers 256 ms.
   */
  static final int MAX_SAMPLES = 512;

  private record Sample(Position position, long sentNanos) {}

  private final List<Sample> pending = new ArrayList<>();
  private final List<Sample> confirmed = new ArrayList<>();

  /** Adds a pending sample. */
  void add(Position position, long sentNanos) {
    insert(pending, new Sample(position, sentNanos));
  }

  /** Confirms the samples of a term that were sent at or before {@code sentNanos}. */
  void confirm(long term, long sentNanos) {
    for (int i = 0; i < pending.size(); ) {
      Sample sample = pending.get(i);
      if (sample.position.term() == term && sample.sentNanos - sentNanos <= 0) {
        insert(confirmed, sample);
        pending.remove(i);
      } else {
        i++;
      }
    }
  }

  /** Returns the time of the latest confirmed sample that a log at {@code position} includes. */
  OptionalLong latest(Position position) {
    for (int i = confirmed.size() - 1; i >= 0; i--) {
      if (position.includes(confirmed.get(i).position)) {
        return OptionalLong.of(confirmed.get(i).sentNanos);
      }
    }
    return OptionalLong.empty();
  }

  /** Inserts in order of time. Answers arrive nearly in order, so the linear search is short. */
  private static void insert(List<Sample> samples, Sample sample) {
    int index = samples.size();
    while (index > 0 && samples.get(index - 1).sentNanos - sample.sentNanos > 0) {
      index--;
    }
    samples.add(index, sample);
    if (samples.size() > MAX_SAMPLES) {
      thinOut(samples);
    }
  }

  private static void thinOut(List<Sample> samples) {
    List<Sample> kept = new ArrayList<>(MAX_SAMPLES);
    for (int i = 0; i < samples.size(); i++) {
      if (i >= samples.size() / 2 || i % 2 == 0) {
        kept.add(samples.get(i));
      }
    }
    samples.clear();
    samples.addAll(kept);
  }
}
