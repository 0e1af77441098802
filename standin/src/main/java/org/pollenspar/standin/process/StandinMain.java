package org.pollenspar.standin.process;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.concurrent.CountDownLatch;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparException;

/** Command line of the stand-ins: {@code database} and {@code platform}. */
public final class StandinMain {
  private static final int EXIT_USAGE = 2;

  private StandinMain() {}

  /** Runs a stand-in until the process is ended. */
  public static void main(String[] arguments) throws InterruptedException {
    DatabaseOptions database = new DatabaseOptions();
    JCommander commands =
        JCommander.newBuilder()
            .programName("pollenspar-standin")
            .addCommand("database", database)
            .build();
    try {
      commands.parse(arguments);
      if (database.help || commands.getParsedCommand() == null) {
        commands.usage();
        return;
      }
      DatabaseStandin standin = new DatabaseStandin(database);
      announce("database " + database.id, standin.port(), standin.controlPort());
      new CountDownLatch(1).await();
    } catch (ParameterException e) {
      fail(ErrorKind.INVALID_OPTION.message(String.valueOf(e.getMessage())));
    } catch (PollensparException e) {
      fail(e.error().message());
    }
  }

  private static void announce(String name, int port, int controlPort) {
    System.out.println(name + " listens on port " + port + ", control port " + controlPort);
  }

  private static void fail(String message) {
    System.err.println(message);
    System.exit(EXIT_USAGE);
  }
}
