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
 * Long-polls the state of one database over a connection of its own and reports each answer to the
 * control thread.
 */
final class Prober implements AutoCloseable {
  /** Beyond the wait that the probe asks for; also the bound on a database that stops answering. */
  private static final Duration ANSWER_MARGIN = Duration.ofMillis(500);

  private static final Duration RECONNECT_PAUSE = Duration.ofMillis(50);

  /** Bounds the probes of a database that is written to all the time to a thousand a second. */
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

  /** Told on the control thread of each probe. */
  interface Listener {
    void observed(DatabaseState state, long sentNanos, long receivedNanos);

    void failed(String databaseId, String reason);
  }

  /**
   * Creates a prober; {@link #start} begins to probe.
   *
   * @param waitMillis how long the next probe lets the database wait for a change
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
        throw new AnswerFault("the address belongs to database " + state.databaseId());
      }
      long received = System.nanoTime();
      report(() -> listener.observed(state, sent, received));
      afterOffset = state.logOffset();
      first = false;
      pause(MIN_INTERVAL_NANOS - (received - sent));
    }
  }

  /** Hands an event to the control thread; once that has ended, nobody is left to tell. */
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
