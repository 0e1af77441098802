package org.pollenspar.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.pollenspar.core.process.PollensparError;

/** Prints the state of all processes and groups. */
@Parameters(commandDescription = "Show versions, primaries, queues and violated invariants")
final class StatusCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();
  @ParametersDelegate private final TargetOptions targets = new TargetOptions();

  @Parameter(
      names = "--json",
      description = "Print the reports of all processes as one JSON object")
  private boolean json;

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public ExitCode run(CliContext context) {
    return Target.of(targets, context).fold(context::reportError, list -> print(context, list));
  }

  private ExitCode print(CliContext context, List<Target> list) {
    AdminClient client = new AdminClient(Duration.ofMillis(targets.timeoutMillis));
    Map<Target, Either<PollensparError, String>> answers = client.readAll(list, "/status");
    FleetStatus status = FleetStatus.of(answers);
    context.out().print(json ? Json.pretty(status.json()) + "\n" : status.table());
    status.errors().forEach(context::reportError);
    return status.healthy() ? ExitCode.OK : ExitCode.FAILED;
  }
}
