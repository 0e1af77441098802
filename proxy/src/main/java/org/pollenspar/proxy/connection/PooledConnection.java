package org.pollenspar.proxy.connection;

import java.sql.SQLException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * One connection of a pool and the thread that does its I/O. Everything but the thread's own loop
 * is driven by the control thread.
 *
 * <p>Closing aborts the socket, so a thread that waits for a database that stopped in mid-answer
 * ends at once.
 */
final class PooledConnection {
  private static final Runnable STOP = () -> {};

  private final DatabaseAddress address;
  private final DatabaseLogin login;
  private final Executor control;
  private final Thread thread;
  private final BlockingQueue<Runnable> steps = new LinkedBlockingQueue<>();
  private final AtomicBoolean stepRunning = new AtomicBoolean();
  private volatile @Nullable DatabaseConnection connection;
  private volatile boolean closed;
  private volatile boolean clean;
  private long requestId;
  private long idleSinceNanos;

  /** Told on the control thread how the opening ended. */
  interface OpenListener {
    void opened(PooledConnection opened);

    void openFailed(PooledConnection failed, SQLException reason);
  }

  PooledConnection(
      DatabaseAddress address,
      DatabaseLogin login,
      Executor control,
      ThreadFactory threads,
      OpenListener listener) {
    this.address = address;
    this.login = login;
    this.control = control;
    this.thread = threads.newThread(() -> openAndServe(listener));
  }

  /** Starts to open the connection. */
  void open() {
    thread.start();
  }

  DatabaseAddress address() {
    return address;
  }

  /** Returns the request that the connection belongs to; 0 if none. */
  long requestId() {
    return requestId;
  }

  void setRequestId(long newRequestId) {
    requestId = newRequestId;
  }

  long idleSinceNanos() {
    return idleSinceNanos;
  }

  void setIdleSinceNanos(long nowNanos) {
    idleSinceNanos = nowNanos;
  }

  /** Returns whether the last step left the connection fit for another request. */
  boolean clean() {
    return clean && !closed;
  }

  /**
   * Runs a step on the connection's thread and reports its result on the control thread.
   *
   * @param step returns its failures as results
   * @param onError result for a failure that the step does not know, for example one of the driver
   *     on an answer that is not PostgreSQL at all
   */
  <T> void run(
      Function<DatabaseConnection, T> step, Function<Throwable, T> onError, Consumer<T> onResult) {
    clean = false;
    steps.add(() -> runStep(step, onError, onResult));
  }

  private <T> void runStep(
      Function<DatabaseConnection, T> step, Function<Throwable, T> onError, Consumer<T> onResult) {
    DatabaseConnection current = connection;
    T result;
    if (current == null || !stepRunning.compareAndSet(false, true)) {
      result = onError.apply(new IllegalStateException("the connection is in use or not open"));
    } else {
      try {
        result = step.apply(current);
        clean = current.clean();
      } catch (RuntimeException | Error e) {
        current.markBroken();
        result = onError.apply(e);
      } finally {
        stepRunning.set(false);
      }
    }
    T reported = result;
    report(() -> onResult.accept(reported));
  }

  /** Hands an event to the control thread; once that has ended, nobody is left to tell. */
  private void report(Runnable event) {
    try {
      control.execute(event);
    } catch (RejectedExecutionException e) {
      close();
    }
  }

  /** Closes the connection; may be called at any time, also while a step runs. */
  void close() {
    closed = true;
    steps.add(STOP);
    DatabaseConnection current = connection;
    if (current != null) {
      current.abort();
    }
  }

  private void openAndServe(OpenListener listener) {
    DatabaseConnection opened;
    try {
      opened = DatabaseConnection.open(address, login);
    } catch (SQLException e) {
      report(() -> listener.openFailed(this, e));
      return;
    } catch (RuntimeException | Error e) {
      SQLException wrapped = new SQLException(e.toString(), e);
      report(() -> listener.openFailed(this, wrapped));
      return;
    }
    try (opened) {
      connection = opened;
      clean = true;
      report(() -> listener.opened(this));
      runSteps();
    }
  }

  private void runSteps() {
    try {
      while (!closed) {
        Runnable step = steps.take();
        if (step != STOP) {
          step.run();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
