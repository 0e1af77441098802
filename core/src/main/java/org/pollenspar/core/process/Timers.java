package org.pollenspar.core.process;

/** Runs tasks later on the thread that owns the state. */
public interface Timers {
  /** Runs a task after a delay, unless the returned timer is cancelled first. */
  Timer after(long delayMillis, Runnable task);

  /** A scheduled task. */
  interface Timer {
    /** Prevents the task from running; without effect afterwards. */
    void cancel();
  }
}
