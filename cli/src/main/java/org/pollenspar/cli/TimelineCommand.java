package org.pollenspar.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.TimelineEvent;

/** Prints the events of all processes in causal order, or writes them to an HTML page. */
@Parameters(commandDescription = "Show the events of all running processes in causal order")
final class TimelineCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();
  @ParametersDelegate private final TargetOptions targets = new TargetOptions();

  @Parameter(names = "--json", description = "Print one JSON object per event")
  private boolean json;

  @Parameter(
      names = "--html",
      description = "Write an HTML page with a chart to this file, instead of printing")
  private @Nullable String html;

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public ExitCode run(CliContext context) {
    return Target.of(targets, context).fold(context::reportError, list -> collect(context, list));
  }

  private ExitCode collect(CliContext context, List<Target> list) {
    AdminClient client = new AdminClient(Duration.ofMillis(targets.timeoutMillis));
    Map<Target, Either<PollensparError, String>> answers = client.readAll(list, "/timeline");
    MergedTimeline timeline = MergedTimeline.of(answers);
    timeline.errors().forEach(context::reportError);
    ExitCode read = timeline.errors().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
    if (html != null) {
      return write(context, html, timeline.events()) ? read : ExitCode.BAD_INPUT;
    }
    context.out().print(json ? timeline.jsonLines() : timeline.text());
    return read;
  }

  private static boolean write(CliContext context, String file, List<TimelineEvent> events) {
    try {
      Files.writeString(Path.of(file), TimelinePage.render(events));
      context.out().println(events.size() + " events written to " + file);
      return true;
    } catch (IOException e) {
      context.reportError(
          PollensparError.of(ErrorKind.FILE_UNREADABLE, file, "cannot write the page: " + e));
      return false;
    }
  }
}
