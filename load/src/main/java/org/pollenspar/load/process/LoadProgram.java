package org.pollenspar.load.process;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.PollensparException;

/** The load generator: parses its options, runs the plan and returns the exit code. */
public final class LoadProgram {
  /** The run was complete and no guarantee was violated. */
  public static final int EXIT_OK = 0;

  /** The run could not be completed. */
  public static final int EXIT_INCOMPLETE = 1;

  /** The options or the plan are wrong. */
  public static final int EXIT_USAGE = 2;

  /** A guarantee was violated. */
  public static final int EXIT_GUARANTEE_VIOLATED = 3;

  private static final String VERSION = "0.1.0";
  private static final int RUN_ID_RADIX = 36;

  private final PrintStream out;
  private final PrintStream errors;

  /** Creates the program with its output streams. */
  public LoadProgram(PrintStream out, PrintStream errors) {
    this.out = out;
    this.errors = errors;
  }

  /** Runs with these arguments and returns the exit code. */
  public int run(String... arguments) throws InterruptedException {
    LoadOptions options = new LoadOptions();
    JCommander parser =
        JCommander.newBuilder().programName("pollenspar-load").addObject(options).build();
    try {
      parser.parse(arguments);
      if (options.help) {
        StringBuilder usage = new StringBuilder();
        parser.getUsageFormatter().usage(usage);
        out.println(usage);
        return EXIT_OK;
      }
      if (options.version) {
        out.println("pollenspar-load " + VERSION);
        return EXIT_OK;
      }
      return run(options);
    } catch (ParameterException e) {
      errors.println(ErrorKind.INVALID_OPTION.message(String.valueOf(e.getMessage())));
      return EXIT_USAGE;
    } catch (PollensparException e) {
      errors.println(e.error().message());
      return EXIT_USAGE;
    }
  }

  private int run(LoadOptions options) throws InterruptedException {
    LoadPlan plan = LoadPlanReader.read(Path.of(options.plan));
    List<URI> proxies = options.proxies.stream().map(LoadProgram::proxy).toList();
    if (options.seconds < 0 || options.maxInFlight < 1 || options.settleSeconds < 0) {
      throw PollensparError.of(
              ErrorKind.INVALID_OPTION,
              "--seconds and --settle-seconds must be 0 or more, --max-in-flight 1 or more")
          .asException();
    }
    String runId =
        options.runId.isEmpty()
            ? "r" + Long.toString(System.currentTimeMillis(), RUN_ID_RADIX)
            : options.runId;
    RunSettings settings =
        new RunSettings(
            options.seed, runId, options.maxInFlight, Duration.ofSeconds(options.settleSeconds));
    LoadPlan timed = options.seconds > 0 ? plan.scaledTo(options.seconds) : plan;
    try {
      LoadReport report = new LoadRun(timed, settings, new ProxyClient(proxies)).run();
      out.print(report.text());
      if (!options.csv.isEmpty()) {
        Files.writeString(Path.of(options.csv), report.csv());
      }
      return report.violationCount() == 0 ? EXIT_OK : EXIT_GUARANTEE_VIOLATED;
    } catch (IOException e) {
      errors.println("The run is incomplete: " + e.getMessage());
      return EXIT_INCOMPLETE;
    }
  }

  private static URI proxy(String text) {
    try {
      URI uri = URI.create(text);
      if (uri.getHost() != null && uri.getPort() > 0) {
        return uri;
      }
    } catch (IllegalArgumentException e) {
      // Rejected below, like any other text that is not a URL with host and port.
    }
    throw PollensparError.of(
            ErrorKind.INVALID_OPTION, "--proxies: \"" + text + "\" is not http://ADDRESS:PORT")
        .asException();
  }
}
