package org.pollenspar.core.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The last events of one process, in a ring buffer. Safe for use by several threads. */
public final class Timeline {
  private final String process;
  private final HybridClock clock;
  private final int capacity;
  private final Deque<TimelineEvent> events = new ArrayDeque<>();

  /**
   * Creates an empty timeline.
   *
   * @param process id of this process
   * @param clock source of stamps
   * @param capacity number of events kept; older ones are dropped
   */
  public Timeline(String process, HybridClock clock, int capacity) {
    this.process = process;
    this.clock = clock;
    this.capacity = capacity;
  }

  public synchronized TimelineEvent record(String kind, String subject, String detail) {
    TimelineEvent event = new TimelineEvent(clock.tick(), process, kind, subject, detail);
    if (events.size() == capacity) {
      events.removeFirst();
    }
    events.addLast(event);
    return event;
  }

  /** Returns the events, oldest first. */
  public synchronized List<TimelineEvent> snapshot() {
    return List.copyOf(events);
  }

  /** Returns the clock whose stamps go on messages. */
  public HybridClock clock() {
    return clock;
  }
}
