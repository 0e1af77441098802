package org.pollenspar.net.process;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The single thread that runs the decision classes of a process and owns their state. Other threads
 * submit tasks to it and never access that state; the decision classes therefore need no locks.
 */
public final class ControlThread implements Executor, AutoCloseable {
  private static final int STOP_TIMEOUT_SECONDS = 2;

  private final ScheduledThreadPoolExecutor executor;
  private final Consumer<Throwable> onFailure;

  /**
   * Starts the thread.
   *
   * @param name name of the thread
   * @param onFailure receives every exception that a task throws; the thread continues
   */
  public ControlThread(String name, Consumer<Throwable> onFailure) {
    this.onFailure = onFailure;
    this.executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    executor.setRemoveOnCancelPolicy(true);
  }

  /** Returns the monotonic time in nanoseconds that all decision classes use. */
  public long nowNanos() {
    return System.nanoTime();
  }

  @Override
  public void execute(Runnable task) {
    executor.execute(() -> runGuarded(task));
  }

  /** Runs a task once after a delay. */
  public Future<?> schedule(Duration delay, Runnable task) {
    return executor.schedule(() -> runGuarded(task), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Runs a task repeatedly, with this pause between the end of a run and the next start. */
  public Future<?> scheduleRepeatedly(Duration pause, Runnable task) {
    return executor.scheduleWithFixedDelay(
        () -> runGuarded(task), pause.toNanos(), pause.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Evaluates a function on the control thread. */
  public <T> CompletableFuture<T> call(Supplier<T> function) {
    return CompletableFuture.supplyAsync(function, executor);
  }

  /** Returns how many tasks wait to run, including scheduled ones. */
  public int queuedTasks() {
    return executor.getQueue().size();
  }

  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      onFailure.accept(e);
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
    try {
      executor.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
