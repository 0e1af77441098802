package org.pollenspar.core.connection;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;

/**
 * Runs one control command, such as a status query, at a database. It comes before all statements
 * of callers, and needs neither a permit nor a turn of the rate limiter.
 */
public final class ControlCommandRequest implements ConnectionRequest {
  private static final long TIMEOUT_MS = 700;
  private static final SessionState NO_SESSION = new SessionState();

  private final ConnectionPool pool;
  private final DatabaseCommand command;
  private final Clocks clocks;
  private final Consumer<@Nullable Answer> done;
  private @Nullable PooledDatabaseConnection connection;
  private boolean ended;

  private ControlCommandRequest(
      ConnectionPool pool,
      DatabaseCommand command,
      Clocks clocks,
      Consumer<@Nullable Answer> done) {
    this.pool = pool;
    this.command = command;
    this.clocks = clocks;
    this.done = done;
  }

  /** Runs a command. The callback receives null if no successful answer arrives in time. */
  public static void run(
      ConnectionPool pool,
      DatabaseCommand command,
      Clocks clocks,
      Timers timers,
      Consumer<@Nullable Answer> done) {
    probe(
        pool,
        command,
        clocks,
        timers,
        answer -> done.accept(answer != null && answer.ok() ? answer : null));
  }

  /** Runs a command. The callback receives null if no complete answer arrives in time. */
  static void probe(
      ConnectionPool pool,
      DatabaseCommand command,
      Clocks clocks,
      Timers timers,
      Consumer<@Nullable Answer> done) {
    ControlCommandRequest request = new ControlCommandRequest(pool, command, clocks, done);
    timers.after(TIMEOUT_MS, request::onTimeout);
    pool.acquire(request);
  }

  /** Returns a priority above the most urgent rank, which is 0. */
  @Override
  public int priority() {
    return -1;
  }

  @Override
  public long maxWaitNanos() {
    return Long.MAX_VALUE;
  }

  @Override
  public SessionState sessionState() {
    return NO_SESSION;
  }

  @Override
  public void granted(PooledDatabaseConnection granted) {
    if (ended) {
      pool.release(granted, clocks.steadyNanos());
      return;
    }
    connection = granted;
    long since = clocks.steadyNanos();
    granted.run(
        command,
        answer -> {
          connection = null;
          if (answer.code() != AnswerCode.LOST) {
            pool.recordAnswer();
          }
          pool.release(granted, since);
          end(answer.code() == AnswerCode.LOST ? null : answer);
        });
  }

  @Override
  public void refused(AnswerCode code, String reason) {
    end(null);
  }

  private void onTimeout() {
    if (ended) {
      return;
    }
    @Nullable PooledDatabaseConnection used = connection;
    if (used != null) {
      pool.markUnresponsive();
      used.close();
    } else {
      pool.withdraw(this);
    }
    end(null);
  }

  private void end(@Nullable Answer answer) {
    if (!ended) {
      ended = true;
      done.accept(answer);
    }
  }
}
