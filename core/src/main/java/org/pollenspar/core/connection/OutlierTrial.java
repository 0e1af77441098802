package org.pollenspar.core.connection;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionStatement;

/**
 * Finds out by statements of this host whether a database that reads avoid is good again: one
 * status query, then reads. No caller waits for them.
 *
 * <p>A database that fails 40 % of its reads passes {@link #READS} of them with a probability of 5
 * %; {@link ReadOutliers} lets reads return gradually for that case. Refusals because of load don't
 * end a trial, since they say nothing about the fault.
 */
final class OutlierTrial {
  private static final int READS = 6;
  private static final long INTERVAL_MS = 200;

  /** Statements of one trial; a database that refuses more of them is tried again later. */
  private static final int MAX_STATEMENTS = 30;

  /** Id of the statements that this host sends of its own. */
  private static final String ID = "-";

  private final ConnectionPool pool;
  private final Supplier<SessionStatement.@Nullable Read> example;
  private final Clocks clocks;
  private final Timers timers;
  private final Consumer<Boolean> done;
  private int statements;
  private int successes;

  /**
   * Creates a trial.
   *
   * @param example supplies the read to send; if null, the status is queried again instead
   * @param done receives whether the database is good again, once; never if the pool is retired
   */
  OutlierTrial(
      ConnectionPool pool,
      Supplier<SessionStatement.@Nullable Read> example,
      Clocks clocks,
      Timers timers,
      Consumer<Boolean> done) {
    this.pool = pool;
    this.example = example;
    this.clocks = clocks;
    this.timers = timers;
    this.done = done;
  }

  /** Sends the next statement, and the others one by one. */
  void start() {
    if (pool.retired()) {
      return;
    }
    statements++;
    ControlCommandRequest.probe(pool, command(), clocks, timers, this::answered);
  }

  private DatabaseCommand command() {
    SessionStatement.@Nullable Read read = successes == 0 ? null : example.get();
    return read == null
        ? new DatabaseCommand.Status()
        : new DatabaseCommand.Forward(ID, read, null, null);
  }

  private void answered(@Nullable Answer answer) {
    if (answer == null || ReadOutliers.failed(answer.code())) {
      done.accept(false);
      return;
    }
    successes += answer.code() == AnswerCode.BUSY ? 0 : 1;
    if (successes > READS) {
      done.accept(true);
    } else if (statements >= MAX_STATEMENTS) {
      done.accept(false);
    } else {
      timers.after(INTERVAL_MS, this::start);
    }
  }
}
