package org.pollenspar.load.capacity;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;

/** The command {@code pollenspar-load capacity}, which measures how the cost of each part grows. */
public final class CapacityProgram {
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  private final PrintStream out;
  private final PrintStream err;

  /** Creates the program with its output streams. */
  public CapacityProgram(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Options of the command. */
  private static final class Options {
    @Parameter(names = "--csv", description = "File for the measured values")
    private String csv = "";

    @Parameter(names = "--svg", description = "File for the plots")
    private String svg = "";

    @Parameter(names = "--help", help = true, description = "Print this help and exit")
    private boolean help;
  }

  /** Runs the experiment and returns the exit code. */
  public int run(String[] arguments) {
    Options options = new Options();
    JCommander commander =
        JCommander.newBuilder().programName("pollenspar-load capacity").addObject(options).build();
    try {
      commander.parse(arguments);
    } catch (ParameterException e) {
      err.println(
          PollensparError.of(ErrorKind.INVALID_OPTION, String.valueOf(e.getMessage())).message());
      return EXIT_USAGE;
    }
    if (options.help) {
      StringBuilder text = new StringBuilder();
      commander.getUsageFormatter().usage(text);
      out.print(text);
      return EXIT_OK;
    }
    return measure(options);
  }

  private int measure(Options options) {
    List<Measurement> measurements = new ArrayList<>();
    for (CapacitySubject subject : CapacitySubject.values()) {
      measurements.addAll(subject.measureAll());
    }
    CapacityReport report = new CapacityReport(measurements);
    out.print(report.text());
    try {
      write(options.csv, report.csv());
      write(options.svg, report.svg());
      return EXIT_OK;
    } catch (IOException e) {
      err.println(e);
      return EXIT_FAILURE;
    }
  }

  private static void write(String file, String text) throws IOException {
    if (!file.isEmpty()) {
      Files.writeString(Path.of(file), text);
    }
  }
}
