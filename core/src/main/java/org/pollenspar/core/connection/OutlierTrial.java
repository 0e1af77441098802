package org.pollenspar.core.connection;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;

/**
 * Finds out by status queries of this host whether a database that reads avoid answers again. No
 * caller waits for them.
 *
 * <p>They don't show whether reads succeed: a database may run no read that no caller has sent. So
 * {@link ReadOutliers} lets the reads of callers return gradually after a trial. Refusals because
 * of load don't end a trial, since they say nothing about the fault.
 */
final class OutlierTrial {
  private static final int SUCCESSES = 3;
  private static final long INTERVAL_MS = 200;

  /** Queries of one trial; a database that refuses more of them is tried again later. */
  private static final int MAX_QUERIES = 30;

  private final ConnectionPool pool;
  private final Clocks clocks;
  private final Timers timers;
  private final Consumer<Boolean> done;
  private int queries;
  private int successes;

  /**
   * Creates a trial.
   *
   * @param done receives whether the database answers again, once; never if the pool is retired
   */
  OutlierTrial(ConnectionPool pool, Clocks clocks, Timers timers, Consumer<Boolean> done) {
    this.pool = pool;
    this.clocks = clocks;
    this.timers = timers;
    this.done = done;
  }

  /** Sends the next query, and the others one by one. */
  void start() {
    if (pool.retired()) {
      return;
    }
    queries++;
    ControlCommandRequest.probe(pool, new DatabaseCommand.Status(), clocks, timers, this::answered);
  }

  private void answered(@Nullable Answer answer) {
    if (answer == null || ReadOutliers.failed(answer.code())) {
      done.accept(false);
      return;
    }
    successes += answer.code() == AnswerCode.BUSY ? 0 : 1;
    if (successes >= SUCCESSES) {
      done.accept(true);
    } else if (queries >= MAX_QUERIES) {
      done.accept(false);
    } else {
      timers.after(INTERVAL_MS, this::start);
    }
  }
}
