package org.pollenspar.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.PollensparException;

/** Entry point of the command line for operators: parses arguments and runs one subcommand. */
public final class PollensparMain {
  private static final String PROGRAM = "pollenspar";

  private PollensparMain() {}

  public static void main(String[] arguments) {
    System.exit(run(arguments, System.out, System.err, System.getenv()).number());
  }

  /** Runs a subcommand without ending the process, so that tests can call it. */
  static ExitCode run(
      String[] arguments, PrintStream out, PrintStream err, Map<String, String> environment) {
    CliContext context = CliContext.of(out, err, environment);
    Map<String, Command> commands = commands();
    CommonOptions common = new CommonOptions();
    JCommander.Builder builder = JCommander.newBuilder().programName(PROGRAM).addObject(common);
    commands.forEach(builder::addCommand);
    JCommander parser = builder.build();
    try {
      parser.parse(arguments);
      Command command = commands.get(parser.getParsedCommand());
      CommonOptions given = command == null ? common : command.common();
      if (given.version || common.version) {
        out.println(PROGRAM + " " + Version.text());
        return ExitCode.OK;
      }
      if (given.help || common.help) {
        out.print(usage(parser));
        return ExitCode.OK;
      }
      if (command == null) {
        throw new ParameterException("No subcommand was given");
      }
      return command.run(context);
    } catch (ParameterException e) {
      return context.reportError(
          PollensparError.of(ErrorKind.INVALID_OPTION, String.valueOf(e.getMessage())));
    } catch (PollensparException e) {
      return context.reportError(e.error());
    }
  }

  private static Map<String, Command> commands() {
    Map<String, Command> commands = new LinkedHashMap<>();
    commands.put("check", new CheckCommand());
    commands.put("diff", new DiffCommand());
    commands.put("apply", new ApplyCommand());
    commands.put("status", new StatusCommand());
    commands.put("timeline", new TimelineCommand());
    commands.put("request", new RequestCommand());
    commands.put("explain", new ExplainCommand());
    return commands;
  }

  private static String usage(JCommander parser) {
    StringBuilder text = new StringBuilder();
    if (parser.getParsedCommand() == null) {
      parser.getUsageFormatter().usage(text);
    } else {
      parser.getUsageFormatter().usage(parser.getParsedCommand(), text);
    }
    return text + "\n" + ExitCode.help();
  }
}
