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
 * Databases without a network. Each command is recorded and answered after a service time, by a
 * default or by what a test says about the next command of a type.
 */
final class ScriptedDatabases implements PhysicalConnection.Opener {
  /** One command as a database saw it. */
  record Seen(String database, int connection, DatabaseCommand command) {}

  final List<Seen> seen = new ArrayList<>();
  final Map<String, Position> positions = new HashMap<>();
  final Set<String> unreachable = new HashSet<>();
  final Set<String> silent = new HashSet<>();

  /** Databases that accept no further connection. */
  final Set<String> full = new HashSet<>();

  final List<ScriptedConnection> connections = new ArrayList<>();
  private final Timers timers;
  private final long serviceMillis;
  private @Nullable Function<Seen, @Nullable Answer> script;

  ScriptedDatabases(Timers timers, long serviceMillis) {
    this.timers = timers;
    this.serviceMillis = serviceMillis;
  }

  /** Lets a function answer commands; null leaves a command to the default. */
  void script(Function<Seen, @Nullable Answer> answers) {
    script = answers;
  }

  List<DatabaseCommand> commands(String database) {
    return seen.stream()
        .filter(each -> each.database().equals(database))
        .map(Seen::command)
        .toList();
  }

  @Override
  public void open(DatabaseEntry database, PhysicalConnection.OpenListener listener) {
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
                new ScriptedConnection(database.id(), connections.size());
            connections.add(connection);
            listener.opened(connection, Answer.local(TransactionState.IDLE));
          }
        });
  }

  /** A connection to one of the databases. */
  final class ScriptedConnection implements PhysicalConnection {
    final String database;
    final int number;
    boolean closed;
    private TransactionState state = TransactionState.IDLE;
    private @Nullable Consumer<Answer> waiting;

    ScriptedConnection(String database, int number) {
      this.database = database;
      this.number = number;
    }

    @Override
    public void run(DatabaseCommand command, Consumer<Answer> done) {
      if (closed) {
        done.accept(lost());
        return;
      }
      Seen one = new Seen(database, number, command);
      seen.add(one);
      waiting = done;
      if (silent.contains(database)) {
        return;
      }
      timers.after(serviceMillis, () -> answer(one));
    }

    private void answer(Seen one) {
      Consumer<Answer> done = waiting;
      waiting = null;
      if (closed || done == null) {
        return;
      }
      Answer scripted = script == null ? null : script.apply(one);
      Answer answer = scripted != null ? scripted : success(one.command());
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
      boolean signed = command instanceof DatabaseCommand.Forward;
      return new Answer(
          AnswerCode.OK,
          signed ? List.of("row") : List.of(),
          signed ? "signature" : "-",
          state,
          positions.get(database));
    }

    private static boolean isCommit(DatabaseCommand command) {
      return command instanceof DatabaseCommand.Forward forward
          && forward.statement() instanceof SessionStatement.Commit;
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
