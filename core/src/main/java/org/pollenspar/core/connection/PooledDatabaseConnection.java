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
 * A connection of a {@link ConnectionPool}, with a record of the session values and prepared
 * statements that the database holds for it.
 *
 * <p>Sessions of many callers share a connection one after the other. Before a statement runs,
 * {@link #restoreSession} gives the connection the values of the caller's session and prepares the
 * statement, sending only what the connection lacks.
 *
 * <p>Invariant: one statement or one transaction uses the connection at a time. If a rollback may
 * have undone changes of the session state, the connection is reset before its next use. If an
 * answer is lost, the connection is discarded. All statements run for one organisation.
 */
public final class PooledDatabaseConnection {
  private final ConnectionPool pool;
  private final String organisation;
  private final PhysicalConnection connection;
  private final Map<String, String> values = new HashMap<>();
  private final Map<PreparedShape, String> preparedNames = new HashMap<>();
  private int nextPreparedNumber;
  private boolean stateUncertain;
  private boolean lost;
  private long lastUsedNanos;
  private boolean granted;
  private @Nullable Runnable releasePermit;

  PooledDatabaseConnection(
      ConnectionPool pool, String organisation, PhysicalConnection connection) {
    this.pool = pool;
    this.organisation = organisation;
    this.connection = connection;
  }

  public ConnectionPool pool() {
    return pool;
  }

  /** Returns the organisation that the connection belongs to. */
  String organisation() {
    return organisation;
  }

  /** Returns whether the connection is closed, here or by the database. */
  public boolean lost() {
    return lost || !connection.usable();
  }

  long lastUsedNanos() {
    return lastUsedNanos;
  }

  void markUsed(long nowNanos) {
    lastUsedNanos = nowNanos;
  }

  /** Returns whether the connection was granted to a request since it was opened. */
  boolean wasGranted() {
    return granted;
  }

  void markGranted() {
    granted = true;
  }

  /** Sets the action that releases the permit under which the next statement runs. */
  void holdPermit(Runnable release) {
    releasePermit = release;
  }

  /** Releases the permit, if one is held. */
  void releasePermit() {
    @Nullable Runnable release = releasePermit;
    releasePermit = null;
    if (release != null) {
      release.run();
    }
  }

  /**
   * Sends a command; see {@link PhysicalConnection#run}. A permit covers one statement and is
   * released when that statement is answered.
   */
  public void run(DatabaseCommand command, Consumer<Answer> done) {
    connection.run(
        command,
        answer -> {
          if (answer.code() == AnswerCode.LOST) {
            lost = true;
          }
          if (command instanceof DatabaseCommand.Forward) {
            releasePermit();
          }
          done.accept(answer);
        });
  }

  /** Closes the connection; the database rolls back a transaction that is open on it. */
  public void close() {
    lost = true;
    releasePermit();
    connection.close();
  }

  /** Returns whether the connection has exactly the values of a session. */
  boolean hasValues(SessionState sessionState) {
    return !stateUncertain && values.equals(sessionState.values());
  }

  /** Returns the name of a prepared statement on this connection; null if it isn't prepared. */
  public @Nullable String preparedName(PreparedShape shape) {
    return preparedNames.get(shape);
  }

  /**
   * Returns the next command that restores a session's values, or that prepares a statement, on the
   * connection; null if nothing is missing. {@link #restored} must be called if it succeeds.
   */
  @Nullable DatabaseCommand nextRestoreCommand(
      SessionState sessionState, @Nullable PreparedShape needed) {
    if (stateUncertain || !sessionState.values().keySet().containsAll(values.keySet())) {
      return new DatabaseCommand.Reset();
    }
    for (Map.Entry<String, String> value : sessionState.values().entrySet()) {
      if (!value.getValue().equals(values.get(value.getKey()))) {
        return new DatabaseCommand.SetValue(value.getKey(), value.getValue());
      }
    }
    if (needed != null && !preparedNames.containsKey(needed)) {
      return new DatabaseCommand.Prepare("p" + nextPreparedNumber, needed);
    }
    return null;
  }

  /** Records the effect of a restore command that succeeded. */
  void restored(DatabaseCommand restoreCommand) {
    if (restoreCommand instanceof DatabaseCommand.Reset) {
      values.clear();
      preparedNames.clear();
      stateUncertain = false;
    } else if (restoreCommand instanceof DatabaseCommand.SetValue set) {
      values.put(set.name(), set.value());
    } else if (restoreCommand instanceof DatabaseCommand.Prepare prepare) {
      preparedNames.put(prepare.shape(), prepare.name());
      nextPreparedNumber++;
    }
  }

  /**
   * Records that a rollback may have undone session values and prepared statements. The connection
   * is reset before its next use.
   */
  void markStateUncertain() {
    stateUncertain = true;
  }

  /** Forgets the prepared statements, after the database answered that it doesn't know one. */
  void clearPreparedNames() {
    preparedNames.clear();
  }

  /**
   * Restores the values of a session on the connection and prepares a statement if needed.
   *
   * @param needed prepared statement that will be executed; null if none
   * @param done receives null on success, else the failed answer; the connection must be discarded
   *     then
   */
  public void restoreSession(
      SessionState sessionState, @Nullable PreparedShape needed, Consumer<@Nullable Answer> done) {
    @Nullable DatabaseCommand restoreCommand = nextRestoreCommand(sessionState, needed);
    if (restoreCommand == null) {
      done.accept(null);
      return;
    }
    run(
        restoreCommand,
        answer -> {
          if (answer.ok()) {
            restored(restoreCommand);
            restoreSession(sessionState, needed, done);
          } else {
            done.accept(answer);
          }
        });
  }
}
