package org.pollenspar.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.pollenspar.core.version.FleetFile;
import org.pollenspar.core.version.FleetKey;

/** Checks a fleet file; needs no connection to the platform. */
@Parameters(commandDescription = "Check a fleet file and print every error in it")
final class CheckCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "FILE")
  private String file = "";

  @Parameter(
      names = "--reference",
      description = "Print a reference of all keys of a fleet file, as Markdown")
  private boolean reference;

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public ExitCode run(CliContext context) {
    if (reference) {
      context.out().print(FleetKey.markdownReference());
      return ExitCode.OK;
    }
    return FleetFiles.load(file)
        .fold(
            errors -> FleetFiles.reportErrors(context, errors),
            loaded -> {
              context.out().println(file + ": correct, " + summary(loaded.file()));
              return ExitCode.OK;
            });
  }

  private static String summary(FleetFile file) {
    return "deployment %s, %d groups, %d ranks, %d kinds"
        .formatted(
            file.deployment(), file.groups().size(), file.ranks().size(), file.kinds().size());
  }
}
