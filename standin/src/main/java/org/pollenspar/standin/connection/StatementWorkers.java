package org.pollenspar.standin.connection;

import java.util.concurrent.Semaphore;
import java.util.concurrent.locks.LockSupport;

/**
 * Models the capacity of a database: a bounded number of workers, each busy for a fixed time per
 * statement. Statements queue in order of arrival for a free worker. Waiting for a row occupies no
 * worker, as a waiting server process uses no processor.
 */
public final class StatementWorkers {
  private final Semaphore workers;
  private volatile long nanos;

  /** Creates the model. */
  public StatementWorkers(int workers, long nanos) {
    this.workers = new Semaphore(workers, true);
    this.nanos = nanos;
  }

  /** Sets the time per statement. */
  public void change(long newNanos) {
    nanos = newNanos;
  }

  /** Occupies a worker for the time of one statement. */
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
