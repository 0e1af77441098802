package org.pollenspar.core.process;

import java.util.PriorityQueue;

/** Clocks and timers on simulated time. */
public final class FakeTime implements Clocks, Timers {
  /** A scheduled task; tasks of the same time run in the order of their creation. */
  private record Task(long atMillis, long sequence, Runnable task, boolean[] cancelled)
      implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long millis;
  private long wallOffset = 1_000_000;
  private long sequence;

  @Override
  public long steadyNanos() {
    return millis * 1_000_000;
  }

  @Override
  public long wallMillis() {
    return millis + wallOffset;
  }

  /** Moves the time of day but not the steady clock. */
  public void stepWall(long byMillis) {
    wallOffset += byMillis;
  }

  @Override
  public Timer after(long delayMillis, Runnable task) {
    boolean[] cancelled = {false};
    tasks.add(new Task(millis + delayMillis, sequence++, task, cancelled));
    return () -> cancelled[0] = true;
  }

  /** Advances both clocks and runs all tasks that become due. */
  public void advance(long byMillis) {
    long end = millis + byMillis;
    while (!tasks.isEmpty() && tasks.peek().atMillis() <= end) {
      Task next = tasks.poll();
      millis = Math.max(millis, next.atMillis());
      if (!next.cancelled()[0]) {
        next.task().run();
      }
    }
    millis = end;
  }
}
