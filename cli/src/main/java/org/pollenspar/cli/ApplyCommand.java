package org.pollenspar.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.pollenspar.net.process.PlatformHttpClient;

/** Applies a fleet file and waits until all live proxies report its version. */
@Parameters(commandDescription = "Apply a file and wait until all live proxies report it")
final class ApplyCommand implements Command {
  private static final long RETRY_PAUSE_MILLIS = 250;

  /**
   * Outlasts a platform outage of 10 s if calls are refused at once, and of 90 s if each call times
   * out after 2 s.
   */
  private static final int ATTEMPTS = 40;

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "FILE")
  private String file = "";

  @Parameter(
      names = "--platform",
      description = "Address of the platform, http://ADDRESS:PORT; default $POLLENSPAR_PLATFORM")
  private @Nullable String platform;

  @Parameter(names = "--author", description = "Name of the operator; default is the login name")
  private String author = System.getProperty("user.name", "unknown");

  @Parameter(
      names = "--base",
      description = "Refuse the file unless this version, as printed by diff, is in force")
  private @Nullable Long base;

  @Parameter(
      names = "--wait-s",
      description = "Seconds to wait until all live proxies report the version; 0: no wait")
  private int waitSeconds = 14;

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public ExitCode run(CliContext context) {
    if (author.isBlank() || author.length() > 100) {
      throw CliContext.invalidOption(
          "--author: \"" + author + "\" must have 1 to 100 characters and not be blank");
    }
    if (waitSeconds < 0 || waitSeconds > 3_600) {
      throw CliContext.invalidOption("--wait-s: " + waitSeconds + " is not between 0 and 3600");
    }
    return FleetFiles.load(file)
        .fold(
            errors -> FleetFiles.reportErrors(context, errors),
            loaded -> apply(context, context.platform(platform), loaded.text()));
  }

  private ExitCode apply(CliContext context, PlatformHttpClient client, String text) {
    Applier applier = new Applier(new ConfigurationStore(client), ApplyCommand::pause, ATTEMPTS);
    OptionalLong reviewedVersion = base == null ? OptionalLong.empty() : OptionalLong.of(base);
    return applier
        .apply(text, author, UUID.randomUUID().toString(), reviewedVersion)
        .fold(context::reportError, accepted -> await(context, client, accepted));
  }

  private ExitCode await(
      CliContext context, PlatformHttpClient client, Applier.ApplyResult accepted) {
    String verdict = accepted.changed() ? " is accepted" : " already holds this file";
    context.out().println("Version " + accepted.version() + verdict);
    if (waitSeconds == 0) {
      return ExitCode.OK;
    }
    AdminClient admin = new AdminClient(Duration.ofSeconds(1));
    return new Rollout(client, admin, System::nanoTime, ApplyCommand::pause)
        .await(accepted.version(), Duration.ofSeconds(waitSeconds))
        .fold(
            context::reportError,
            count -> {
              context
                  .out()
                  .println(
                      "Version " + accepted.version() + " is in force on " + count + " proxies");
              return ExitCode.OK;
            });
  }

  private static void pause() {
    try {
      Thread.sleep(RETRY_PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
