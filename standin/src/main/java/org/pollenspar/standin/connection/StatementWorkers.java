package org.pollenspar.standin.connection;

import java.util.concurrent.Semaphore;
import java.util.concurrent.locks.LockSupport;

/**
 * Simulates the capacity of a database: a fixed number of workers, each busy for a fixed time per
 * statement. Statements wait for a free worker in order of arrival. Waiting for a row lock occupies
 * no worker, since a server process that waits uses no processor.
 */
public final class StatementWorkers {
  private final Semaphore workers;
  private volatile long nanos;

  /** Creates the workers; a time of 0 ns per statement turns the simulation off. */
  public StatementWorkers(int workers, long nanos) {
    this.workers = new Semaphore(workers, true);
    this.nanos = nanos;
  }

  /** Sets the time per statement, in nanoseconds. */
  public void change(long newNanos) {
    nanos = newNanos;
  }

  /** Waits for a free worker and occupies it for the time of one statement. */
  void occupyWorker() throws InterruptedException {
    if (nanos <= 0) {
      return;
    }
    workers.acquire();
    try {
      long end = System.nanoTime() + nanos;
      for (long left = nanos; left > 0; left = end - System.nanoTime()) {
        if (Thread.interrupted()) {
          throw new InterruptedException();
        }
        LockSupport.parkNanos(left);
      }
    } finally {
      workers.release();
    }
  }
}
