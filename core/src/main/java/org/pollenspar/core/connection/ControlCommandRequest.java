package org.pollenspar.core.connection;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;

/** Runs one control command at a database, ahead of all callers' work. */
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

  /** Runs a command; the callback receives null if there is no successful answer in time. */
  public static void run(
      ConnectionPool pool,
      DatabaseCommand command,
      Clocks clocks,
      Timers timers,
      Consumer<@Nullable Answer> done) {
    ControlCommandRequest probe = new ControlCommandRequest(pool, command, clocks, done);
    timers.after(TIMEOUT_MS, probe::onTimeout);
    pool.acquire(probe);
  }

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
          end(answer.ok() ? answer : null);
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
