package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.PreparedShape;

/**
 * A pooled database connection with the session values and prepared shapes that it holds.
 *
 * <p>Invariant: it is lent to one statement or one transaction at a time, and a connection whose
 * state is not certain is discarded, never reused.
 */
public final class PooledDatabaseConnection {
  private final ConnectionPool pool;
  private final PhysicalConnection connection;
  private final Map<String, String> values = new HashMap<>();
  private final Map<PreparedShape, String> names = new HashMap<>();
  private int nextName;
  private boolean stateUncertain;
  private boolean lost;
  private long lastUsedNanos;
  private @Nullable Runnable endPermit;

  PooledDatabaseConnection(ConnectionPool pool, PhysicalConnection connection) {
    this.pool = pool;
    this.connection = connection;
  }

  /** Returns the pool that lends the connection. */
  public ConnectionPool pool() {
    return pool;
  }

  /** Returns whether the connection can't be used any more. */
  public boolean lost() {
    return lost;
  }

  long lastUsedNanos() {
    return lastUsedNanos;
  }

  void used(long nowNanos) {
    lastUsedNanos = nowNanos;
  }

  /** Sets what gives back the permit under which the next statement runs. */
  void permit(Runnable end) {
    endPermit = end;
  }

  /** Gives the permit back, if one is held. */
  void endPermit() {
    @Nullable Runnable end = endPermit;
    endPermit = null;
    if (end != null) {
      end.run();
    }
  }

  /**
   * Sends a command; see {@link PhysicalConnection#run}. A permit ends with the first statement.
   */
  public void run(DatabaseCommand command, Consumer<Answer> done) {
    connection.run(
        command,
        answer -> {
          if (answer.code() == AnswerCode.LOST) {
            lost = true;
          }
          if (command instanceof DatabaseCommand.Forward) {
            endPermit();
          }
          done.accept(answer);
        });
  }

  /** Closes the connection; the database rolls back what is open on it. */
  public void close() {
    lost = true;
    endPermit();
    connection.close();
  }

  /** Returns whether a caller's values are exactly those of the connection. */
  boolean hasValues(SessionState sessionState) {
    return !stateUncertain && values.equals(sessionState.values());
  }

  /** Returns the name of a prepared shape on this connection; null if it isn't prepared. */
  public @Nullable String preparedName(PreparedShape shape) {
    return names.get(shape);
  }

  /**
   * Returns the next command that brings the connection closer to the state that a caller's
   * statement needs; null when nothing is missing. {@link #applied} must follow its success.
   */
  @Nullable DatabaseCommand nextCorrection(
      SessionState sessionState, @Nullable PreparedShape needed) {
    if (stateUncertain || !sessionState.values().keySet().containsAll(values.keySet())) {
      return new DatabaseCommand.Reset();
    }
    for (Map.Entry<String, String> value : sessionState.values().entrySet()) {
      if (!value.getValue().equals(values.get(value.getKey()))) {
        return new DatabaseCommand.SetValue(value.getKey(), value.getValue());
      }
    }
    if (needed != null && !names.containsKey(needed)) {
      return new DatabaseCommand.Prepare("p" + nextName, needed);
    }
    return null;
  }

  /** Records the effect of a correction that succeeded. */
  void applied(DatabaseCommand correction) {
    if (correction instanceof DatabaseCommand.Reset) {
      values.clear();
      names.clear();
      stateUncertain = false;
    } else if (correction instanceof DatabaseCommand.SetValue set) {
      values.put(set.name(), set.value());
    } else if (correction instanceof DatabaseCommand.Prepare prepare) {
      names.put(prepare.shape(), prepare.name());
      nextName++;
    }
  }

  /**
   * Notes that a rollback may have undone corrections; the connection is reset before its next use.
   */
  void stateUncertain() {
    stateUncertain = true;
  }

  /** Forgets prepared shapes after the database said that it doesn't know one. */
  void forgetNames() {
    names.clear();
  }

  /**
   * Brings the connection into the state that a statement needs.
   *
   * @param done receives null once it is, else the answer that prevented it; the connection must
   *     then be discarded
   */
  public void prepare(
      SessionState sessionState, @Nullable PreparedShape needed, Consumer<@Nullable Answer> done) {
    @Nullable DatabaseCommand correction = nextCorrection(sessionState, needed);
    if (correction == null) {
      done.accept(null);
      return;
    }
    run(
        correction,
        answer -> {
          if (answer.ok()) {
            applied(correction);
            prepare(sessionState, needed, done);
          } else {
            done.accept(answer);
          }
        });
  }
}
