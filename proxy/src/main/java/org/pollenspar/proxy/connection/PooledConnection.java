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
 * A connection of a pool and the thread that does its I/O.
 *
 * <p>All methods but {@link #close} are called on the control thread. The I/O thread opens the
 * connection, runs the steps handed to {@link #run} one after another, and reports each result as a
 * task of the control thread.
 *
 * <p>{@link #close} aborts the socket, so an I/O thread that waits for a database that stopped in
 * the middle of an answer ends at once. A close during the login takes effect when the login ends,
 * at the latest after its timeout.
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

  /** Receives the result of opening the connection on the control thread. */
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

  /** Starts to open the connection; the listener receives the result. */
  void open() {
    thread.start();
  }

  DatabaseAddress address() {
    return address;
  }

  /** Returns the id of the request that the connection belongs to; 0 if it is idle. */
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

  /**
   * Returns whether another request may use the connection. False while a step runs, after a step
   * that left a transaction open until a later step ends it, and for good after an answer that is
   * incomplete or belongs to another request.
   */
  boolean clean() {
    return clean && !closed;
  }

  /**
   * Runs a step on the connection's thread and reports its result on the control thread.
   *
   * @param step the I/O; returns expected failures as results
   * @param onError returns the result for an exception that the step does not expect, for example
   *     one that the driver throws on an answer that breaks the protocol
   * @param onResult receives the result on the control thread
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
      result = onError.apply(new IllegalStateException("connection is not open or runs a step"));
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

  /** Runs a task on the control thread. If that has ended, the proxy is closing: close as well. */
  private void report(Runnable event) {
    try {
      control.execute(event);
    } catch (RejectedExecutionException e) {
      close();
    }
  }

  /** Closes the connection; may be called at any time, even while a step runs. */
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
