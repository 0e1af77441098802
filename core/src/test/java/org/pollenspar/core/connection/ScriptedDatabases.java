package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;

/**
 * Test double of databases, without a network. Each command is recorded and answered after a
 * service time, by the script of the test or, if that returns null, by success.
 */
final class ScriptedDatabases implements PhysicalConnection.Opener {
  /** A command that a database received. */
  record ReceivedCommand(String database, int connection, DatabaseCommand command) {}

  final List<ReceivedCommand> received = new ArrayList<>();
  final Map<String, Position> positions = new HashMap<>();
  final Set<String> unreachable = new HashSet<>();
  final Set<String> unresponsive = new HashSet<>();

  /** Databases that are at their connection limit and refuse further connections. */
  final Set<String> full = new HashSet<>();

  final List<ScriptedConnection> connections = new ArrayList<>();
  private final Timers timers;
  private final long serviceMillis;
  private @Nullable Function<ReceivedCommand, @Nullable Answer> script;

  ScriptedDatabases(Timers timers, long serviceMillis) {
    this.timers = timers;
    this.serviceMillis = serviceMillis;
  }

  /** Sets a function that answers commands; if it returns null, the command succeeds. */
  void script(Function<ReceivedCommand, @Nullable Answer> answers) {
    script = answers;
  }

  List<DatabaseCommand> commands(String database) {
    return received.stream()
        .filter(each -> each.database().equals(database))
        .map(ReceivedCommand::command)
        .toList();
  }

  @Override
  public void open(
      DatabaseEntry database, String organisation, PhysicalConnection.OpenListener listener) {
    timers.after(
        1,
        () -> {
          if (unreachable.contains(database.id())) {
            listener.refused(Answer.error(AnswerCode.LOST, "refused", TransactionState.IDLE));
          } else if (full.contains(database.id())) {
            listener.refused(
                Answer.error(AnswerCode.CONNECTION_LIMIT, "full", TransactionState.IDLE));
          } else {
            ScriptedConnection connection =
                new ScriptedConnection(database.id(), connections.size(), organisation);
            connections.add(connection);
            listener.opened(connection, Answer.local(TransactionState.IDLE));
          }
        });
  }

  /** A connection to one of the databases. */
  final class ScriptedConnection implements PhysicalConnection {
    final String database;
    final int number;
    final String organisation;
    boolean closed;
    private TransactionState state = TransactionState.IDLE;
    private @Nullable Consumer<Answer> waiting;

    ScriptedConnection(String database, int number, String organisation) {
      this.database = database;
      this.number = number;
      this.organisation = organisation;
    }

    @Override
    public void run(DatabaseCommand command, Consumer<Answer> done) {
      if (closed) {
        done.accept(lost());
        return;
      }
      ReceivedCommand receivedCommand = new ReceivedCommand(database, number, command);
      received.add(receivedCommand);
      waiting = done;
      if (unresponsive.contains(database)) {
        return;
      }
      timers.after(serviceMillis, () -> answer(receivedCommand));
    }

    private void answer(ReceivedCommand receivedCommand) {
      Consumer<Answer> done = waiting;
      waiting = null;
      if (closed || done == null) {
        return;
      }
      Answer scripted = script == null ? null : script.apply(receivedCommand);
      Answer answer = scripted != null ? scripted : success(receivedCommand.command());
      if (answer.code() == AnswerCode.LOST) {
        closed = true;
      }
      done.accept(answer);
    }

    private Answer success(DatabaseCommand command) {
      if (command instanceof DatabaseCommand.Begin) {
        state = TransactionState.OPEN;
      } else if (command instanceof DatabaseCommand.Rollback || isCommit(command)) {
        state = TransactionState.IDLE;
      }
      boolean forwarded = command instanceof DatabaseCommand.Forward;
      return new Answer(
          AnswerCode.OK,
          forwarded ? List.of("row") : List.of(),
          forwarded ? "signature" : "-",
          state,
          positions.get(database));
    }

    private static boolean isCommit(DatabaseCommand command) {
      return command instanceof DatabaseCommand.Forward forward
          && forward.statement() instanceof SessionStatement.Commit;
    }

    @Override
    public boolean usable() {
      return !closed;
    }

    @Override
    public void close() {
      closed = true;
      Consumer<Answer> done = waiting;
      waiting = null;
      if (done != null) {
        done.accept(lost());
      }
    }

    private static Answer lost() {
      return Answer.error(AnswerCode.LOST, "closed", TransactionState.IDLE);
    }
  }
}
