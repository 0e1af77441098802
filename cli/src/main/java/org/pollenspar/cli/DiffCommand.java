package org.pollenspar.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.version.ConfigurationVersion;
import org.pollenspar.core.version.FleetDiff;
import org.pollenspar.core.version.FleetFile;
import org.pollenspar.core.version.FleetFileParser;

/** Shows what applying a fleet file would change. */
@Parameters(commandDescription = "Show what applying a fleet file would change")
final class DiffCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "FILE")
  private String file = "";

  @Parameter(
      names = "--platform",
      description = "Address of the platform, http://ADDRESS:PORT; default $POLLENSPAR_PLATFORM")
  private @Nullable String platform;

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public ExitCode run(CliContext context) {
    return FleetFiles.load(file)
        .fold(
            errors -> FleetFiles.reportErrors(context, errors),
            loaded ->
                new ConfigurationStore(context.platform(platform))
                    .read()
                    .fold(context::reportError, stored -> print(context, stored, loaded.file())));
  }

  private ExitCode print(CliContext context, ConfigurationStore.Stored stored, FleetFile proposed) {
    Optional<ConfigurationVersion> current = stored.version();
    if (current.isEmpty()) {
      context.out().println("No file is in force; all of " + file + " would be new:");
      printChanges(context, FleetDiff.added(proposed));
      return ExitCode.OK;
    }
    String name = "version " + current.get().version() + " by " + current.get().author();
    Either<PollensparError, FleetFile> inForce =
        new FleetFileParser().parse(name, current.get().text()).mapLeft(errors -> errors.get(0));
    return inForce.fold(
        context::reportError,
        before -> {
          FleetDiff diff = FleetDiff.between(before, proposed);
          String verdict = diff.isEmpty() ? "means the same as " : "differs from ";
          context.out().println(file + " " + verdict + name);
          printChanges(context, diff);
          return ExitCode.OK;
        });
  }

  private static void printChanges(CliContext context, FleetDiff diff) {
    diff.changes().forEach(change -> context.out().println(change.line()));
  }
}
