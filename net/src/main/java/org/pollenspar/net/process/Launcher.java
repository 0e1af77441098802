package org.pollenspar.net.process;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.PollensparException;
import sun.misc.Signal;

/**
 * Starts a program: parses its options, checks its settings, sets up the log, runs it and returns
 * its exit code. No socket is opened before the settings are checked.
 */
public final class Launcher {
  /** Exit code of a program that ended as intended. */
  public static final int EXIT_OK = 0;

  /** Exit code of a program that failed. */
  public static final int EXIT_FAILURE = 1;

  /** Exit code for bad options or settings. */
  public static final int EXIT_USAGE = 2;

  private final ProgramName program;
  private final PrintStream out;
  private final PrintStream err;

  /** Creates a launcher that prints help to {@code out} and errors to {@code err}. */
  public Launcher(ProgramName program, PrintStream out, PrintStream err) {
    this.program = program;
    this.out = out;
    this.err = err;
  }

  /** The work of a program, after its settings are checked. */
  @FunctionalInterface
  public interface ProgramMain {

    /** Runs until the program is stopped; the error of a {@link PollensparException} is printed. */
    void run(ProcessSettings settings) throws Exception;
  }

  /** The options of all programs with a settings file. */
  private static final class Options {
    @Parameter(names = "--help", help = true, description = "Print this help and exit")
    private boolean help;

    @Parameter(names = "--version", help = true, description = "Print the version and exit")
    private boolean version;

    @Parameter(names = "--settings", description = "Settings file (TOML)", required = true)
    private @Nullable String settings;
  }

  /** Runs the program and returns its exit code. */
  public int run(String[] args, ProgramMain main) {
    // Without a handler the signal ends the program, so this precedes all that takes time.
    Signal.handle(new Signal("HUP"), signal -> reportIgnoredHangup());
    Options options = new Options();
    JCommander commander =
        JCommander.newBuilder().programName(program.command()).addObject(options).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      return usage(List.of(PollensparError.of(ErrorKind.INVALID_OPTION, message(e))));
    }
    if (options.help) {
      out.print(help(commander));
      return EXIT_OK;
    }
    if (options.version) {
      out.println(program.command() + " " + version());
      return EXIT_OK;
    }
    Path file = Path.of(String.valueOf(options.settings));
    Either<List<PollensparError>, ProcessSettings> settings = SettingsReader.read(program, file);
    return settings.fold(this::usage, checked -> start(checked, main));
  }

  private void reportIgnoredHangup() {
    err.println(
        program.command() + ": SIGHUP ignored; restart the program to apply changed settings");
  }

  private int start(ProcessSettings settings, ProgramMain main) {
    LogOutput.configure(settings.text(Setting.LOG_FORMAT), settings.text(Setting.ID));
    try {
      main.run(settings);
      return EXIT_OK;
    } catch (PollensparException e) {
      print(e.error());
    } catch (Exception e) {
      err.println(program.command() + " failed: " + e);
      e.printStackTrace(err);
    }
    return EXIT_FAILURE;
  }

  private int usage(List<PollensparError> errors) {
    errors.forEach(this::print);
    return EXIT_USAGE;
  }

  private void print(PollensparError error) {
    err.println(program.command() + ": error " + error.kind().number() + ": " + error.message());
  }

  private static String message(ParameterException e) {
    return String.valueOf(e.getMessage()).replaceAll("\\.$", "");
  }

  private String help(JCommander commander) {
    StringBuilder text = new StringBuilder(program.summary()).append("\n\n");
    commander.getUsageFormatter().usage(text);
    text.append("\nKeys of the settings file:\n");
    Setting.of(program).forEach(setting -> text.append(setting.helpLine()).append('\n'));
    return text.toString();
  }

  /** Returns the version from the manifest of the archive. */
  private static String version() {
    String version = Launcher.class.getPackage().getImplementationVersion();
    return version == null ? "development build" : version;
  }

  /** Returns the reference of all settings in Markdown. */
  static String reference() {
    return Arrays.stream(ProgramName.values())
        .map(Launcher::referenceOf)
        .collect(
            Collectors.joining(
                "\n",
                "# Settings\n\nGenerated from the table `Setting`; a test compares the two."
                    + " Unknown keys are refused.\n\n",
                ""));
  }

  private static String referenceOf(ProgramName program) {
    String rows =
        Setting.of(program).stream().map(Setting::markdownRow).collect(Collectors.joining("\n"));
    return "## `"
        + program.command()
        + "`\n\n| key | type | range | default | meaning |\n| --- | --- | --- | --- | --- |\n"
        + rows
        + "\n";
  }
}
