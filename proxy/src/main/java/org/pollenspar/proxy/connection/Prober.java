package org.pollenspar.proxy.connection;

import java.sql.SQLException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.request.ResultTable;

/**
 * Probes one database: reads its state by long polling over a dedicated connection and reports each
 * answer on the control thread.
 *
 * <p>A probe asks the database to answer as soon as its log exceeds the last known offset or a term
 * changes, at the latest after a given wait. So changes are seen at once, and an idle database
 * causes few queries. An answer is evidence for the time at which the probe was sent, so that time
 * is reported with it. The first probe after connecting does not wait.
 *
 * <p>The prober has a thread of its own. After a failure it reports the failure, pauses and
 * connects again, until it is closed.
 */
final class Prober implements AutoCloseable {
  /**
   * Added to the wait of a probe to get its timeout, and so the time after which a database that
   * stops answering counts as failed.
   */
  private static final Duration ANSWER_MARGIN = Duration.ofMillis(500);

  private static final Duration RECONNECT_PAUSE = Duration.ofMillis(50);

  /** Limits the probes of a database under constant writes to 1,000 per second. */
  private static final long MIN_INTERVAL_NANOS = 1_000_000L;

  private final DatabaseAddress address;
  private final PoolContext context;
  private final AnswerChecker checker;
  private final IntSupplier waitMillis;
  private final Listener listener;
  private final Executor control;
  private final Thread thread;
  private volatile @Nullable DatabaseConnection connection;
  private volatile boolean closed;

  /** Receives the result of each probe on the control thread; times are monotonic. */
  interface Listener {
    void observed(DatabaseState state, long sentNanos, long receivedNanos);

    void failed(String databaseId, String reason);
  }

  /**
   * Creates a prober; {@link #start} starts its thread.
   *
   * @param waitMillis returns how long the next probe may wait for a change; called on the prober's
   *     thread
   */
  Prober(
      DatabaseAddress address,
      PoolContext context,
      AnswerChecker checker,
      IntSupplier waitMillis,
      Listener listener) {
    this.address = address;
    this.context = context;
    this.checker = checker;
    this.waitMillis = waitMillis;
    this.listener = listener;
    this.control = context.control();
    this.thread = context.threads().newThread(this::probeUntilClosed);
  }

  void start() {
    thread.start();
  }

  DatabaseAddress address() {
    return address;
  }

  private void probeUntilClosed() {
    while (!closed) {
      try (DatabaseConnection opened = DatabaseConnection.open(address, context.login())) {
        connection = opened;
        probe(opened);
      } catch (SQLException | RuntimeException | Error e) {
        String reason = AnswerChecker.reason(e);
        report(() -> listener.failed(address.databaseId(), reason));
      } finally {
        connection = null;
      }
      pause(RECONNECT_PAUSE.toNanos());
    }
  }

  private void probe(DatabaseConnection opened) throws SQLException {
    long afterOffset = 0;
    boolean first = true;
    while (!closed) {
      String nonce = checker.newNonce();
      int wait = waitMillis.getAsInt();
      long sent = System.nanoTime();
      String text =
          first ? StateAnswer.query(nonce) : StateAnswer.waitQuery(nonce, afterOffset, wait);
      List<ResultTable> tables = opened.query(text, ANSWER_MARGIN.plusMillis(first ? 0 : wait));
      DatabaseState state = checker.checkedState(opened, tables, 1, 0, nonce);
      if (!state.databaseId().equals(address.databaseId())) {
        throw new AnswerFault("the server identifies itself as database " + state.databaseId());
      }
      long received = System.nanoTime();
      report(() -> listener.observed(state, sent, received));
      afterOffset = state.logOffset();
      first = false;
      pause(MIN_INTERVAL_NANOS - (received - sent));
    }
  }

  /** Runs a task on the control thread. If that has ended, the proxy is closing: stop probing. */
  private void report(Runnable event) {
    try {
      if (!closed) {
        control.execute(event);
      }
    } catch (RejectedExecutionException e) {
      closed = true;
    }
  }

  private void pause(long nanos) {
    if (nanos <= 0 || closed) {
      return;
    }
    try {
      TimeUnit.NANOSECONDS.sleep(nanos);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      closed = true;
    }
  }

  @Override
  public void close() {
    closed = true;
    DatabaseConnection current = connection;
    if (current != null) {
      current.abort();
    }
    thread.interrupt();
  }
}
