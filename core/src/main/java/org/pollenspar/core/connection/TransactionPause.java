package org.pollenspar.core.connection;

import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Timers;

/**
 * The time in which an open transaction waits for its caller's next statement.
 *
 * <p>After {@link #PAUSED_MS}, its connection counts as held by a paused transaction, so that other
 * requests aren't left waiting for it; see {@link ConnectionPool#heldByPausedTransactions}. After
 * the idle time of the configuration, the transaction ends.
 */
final class TransactionPause {
  /** Longer than callers usually take to send the next statement of a transaction. */
  static final long PAUSED_MS = 250;

  private final SessionContext context;
  private Timers.@Nullable Timer pausedTimer;
  private Timers.@Nullable Timer idleTimer;
  private @Nullable PooledDatabaseConnection paused;

  TransactionPause(SessionContext context) {
    this.context = context;
  }

  /**
   * Begins when a statement was answered.
   *
   * @param held connection of the transaction; null if it holds none
   * @param onIdle called after the idle time, unless the pause ends before
   */
  void begin(@Nullable PooledDatabaseConnection held, Runnable onIdle) {
    if (held != null) {
      pausedTimer =
          context
              .timers()
              .after(
                  PAUSED_MS,
                  () -> {
                    paused = held;
                    held.pool().transactionPaused(held);
                  });
    }
    idleTimer =
        context
            .timers()
            .after(
                context.routes().get().transactionIdleMillis(),
                () -> {
                  end();
                  onIdle.run();
                });
  }

  /** Ends when the next statement arrives or the transaction ends. */
  void end() {
    if (pausedTimer != null) {
      pausedTimer.cancel();
      pausedTimer = null;
    }
    if (idleTimer != null) {
      idleTimer.cancel();
      idleTimer = null;
    }
    @Nullable PooledDatabaseConnection held = paused;
    paused = null;
    if (held != null) {
      held.pool().transactionResumed(held);
    }
  }
}
