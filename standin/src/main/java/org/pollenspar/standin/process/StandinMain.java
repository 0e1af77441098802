package org.pollenspar.standin.process;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.PollensparException;

/** Command line that starts a stand-in: command {@code database} or {@code platform}. */
public final class StandinMain {
  private static final int EXIT_USAGE = 2;

  private static final String VERSION = "0.1.0";

  private StandinMain() {}

  /** Options that precede the command. */
  private static final class GlobalOptions {
    @Parameter(names = "--help", help = true, description = "print the options")
    private boolean help;

    @Parameter(names = "--version", help = true, description = "print the version")
    private boolean version;
  }

  /** Runs a stand-in until the process is terminated. */
  public static void main(String[] arguments) throws InterruptedException {
    DatabaseOptions database = new DatabaseOptions();
    PlatformOptions platform = new PlatformOptions();
    GlobalOptions global = new GlobalOptions();
    JCommander commands =
        JCommander.newBuilder()
            .programName("pollenspar-standin")
            .addObject(global)
            .addCommand("database", database)
            .addCommand("platform", platform)
            .build();
    try {
      commands.parse(arguments);
      if (global.version) {
        System.out.println("pollenspar-standin " + VERSION);
        return;
      }
      if (global.help || database.help || platform.help || commands.getParsedCommand() == null) {
        commands.usage();
        return;
      }
      startStandin(commands.getParsedCommand(), database, platform);
      new CountDownLatch(1).await();
    } catch (ParameterException e) {
      exitWithUsageError(ErrorKind.INVALID_OPTION.message(String.valueOf(e.getMessage())));
    } catch (PollensparException e) {
      exitWithUsageError(e.error().message());
    }
  }

  private static void startStandin(
      String command, DatabaseOptions database, PlatformOptions platform) {
    if (command.equals("database")) {
      DatabaseStandin standin = new DatabaseStandin(database);
      System.out.println(
          "database "
              + database.id
              + " listens on port "
              + standin.port()
              + ", control port "
              + standin.controlPort());
    } else {
      // JCommander does not check that the required options of a command are present.
      if (platform.topology.isEmpty()) {
        throw PollensparError.of(ErrorKind.INVALID_OPTION, "--topology is missing").asException();
      }
      Topology topology = Topology.read(Path.of(platform.topology));
      PlatformStandin standin =
          new PlatformStandin(new InetSocketAddress(platform.address, platform.port), topology);
      System.out.println("platform listens on port " + standin.port());
    }
  }

  private static void exitWithUsageError(String message) {
    System.err.println(message);
    System.exit(EXIT_USAGE);
  }
}
