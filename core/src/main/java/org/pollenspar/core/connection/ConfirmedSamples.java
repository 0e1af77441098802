package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * A bounded history of samples of the primary's log: at a probe sent at s it had reached a
 * position. See {@link GroupTracker} for what a confirmed sample proves.
 *
 * <p>Losing a sample never makes an answer wrong; it only makes the age of a database look greater
 * than it is. So when the history is full, every second sample of its older half goes: recent ages
 * stay exact, and old ones get coarser with age.
 */
final class ConfirmedSamples {
  /** Samples kept of each sort; at one probe a millisecond the exact part covers 256 ms. */
  static final int LIMIT = 512;

  private record Sample(Position position, long sentNanos) {}

  private final List<Sample> pending = new ArrayList<>();
  private final List<Sample> confirmed = new ArrayList<>();

  /** Adds a sample that is not confirmed yet. */
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

  /** Returns the latest time of a confirmed sample that a log at {@code position} satisfies. */
  OptionalLong latest(Position position) {
    for (int i = confirmed.size() - 1; i >= 0; i--) {
      if (position.includes(confirmed.get(i).position)) {
        return OptionalLong.of(confirmed.get(i).sentNanos);
      }
    }
    return OptionalLong.empty();
  }

  /** Keeps the list in order of time; answers arrive nearly in order, so the search is short. */
  private static void insert(List<Sample> samples, Sample sample) {
    int index = samples.size();
    while (index > 0 && samples.get(index - 1).sentNanos - sample.sentNanos > 0) {
      index--;
    }
    samples.add(index, sample);
    if (samples.size() > LIMIT) {
      thin(samples);
    }
  }

  private static void thin(List<Sample> samples) {
    List<Sample> kept = new ArrayList<>(LIMIT);
    for (int i = 0; i < samples.size(); i++) {
      if (i >= samples.size() / 2 || i % 2 == 0) {
        kept.add(samples.get(i));
      }
    }
    samples.clear();
    samples.addAll(kept);
  }
}
