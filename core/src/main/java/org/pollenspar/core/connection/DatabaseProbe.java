package org.pollenspar.core.connection;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;

/** Runs one control command at a database, ahead of all callers' work. */
public final class DatabaseProbe implements LinkRequest {
  private static final long TIMEOUT_MS = 700;
  private static final SessionImage NO_SESSION = new SessionImage();

  private final DatabaseLane lane;
  private final DatabaseCommand command;
  private final Clocks clocks;
  private final Consumer<@Nullable Answer> done;
  private @Nullable PooledLink link;
  private boolean ended;

  private DatabaseProbe(
      DatabaseLane lane, DatabaseCommand command, Clocks clocks, Consumer<@Nullable Answer> done) {
    this.lane = lane;
    this.command = command;
    this.clocks = clocks;
    this.done = done;
  }

  /** Runs a command; the callback receives null if there is no successful answer in time. */
  public static void run(
      DatabaseLane lane,
      DatabaseCommand command,
      Clocks clocks,
      Timers timers,
      Consumer<@Nullable Answer> done) {
    DatabaseProbe probe = new DatabaseProbe(lane, command, clocks, done);
    timers.after(TIMEOUT_MS, probe::onTimeout);
    lane.lend(probe);
  }

  @Override
  public int priority() {
    return -1;
  }

  @Override
  public long patienceNanos() {
    return Long.MAX_VALUE;
  }

  @Override
  public SessionImage image() {
    return NO_SESSION;
  }

  @Override
  public void granted(PooledLink granted) {
    if (ended) {
      lane.giveBack(granted, clocks.steadyNanos());
      return;
    }
    link = granted;
    long since = clocks.steadyNanos();
    granted.run(
        command,
        answer -> {
          link = null;
          if (answer.code() != AnswerCode.LOST) {
            lane.noteAnswer();
          }
          lane.giveBack(granted, since);
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
    @Nullable PooledLink used = link;
    if (used != null) {
      lane.noteSilence();
      used.close();
    } else {
      lane.withdraw(this);
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
