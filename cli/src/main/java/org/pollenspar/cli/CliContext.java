package org.pollenspar.cli;

import java.io.PrintStream;
import java.net.URI;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.ErrorReporter;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.PollensparException;
import org.pollenspar.net.process.PlatformHttpClient;

/**
 * Dependencies of a command; tests replace the streams and the environment.
 *
 * @param out standard output
 * @param err standard error
 * @param environment environment variables
 * @param reporter counts errors by kind and prints them to {@code err}
 */
record CliContext(
    PrintStream out, PrintStream err, Map<String, String> environment, ErrorReporter reporter) {
  /** Name of the environment variable that holds the platform's address. */
  static final String PLATFORM_VARIABLE = "POLLENSPAR_PLATFORM";

  static CliContext of(PrintStream out, PrintStream err, Map<String, String> environment) {
    ErrorReporter reporter =
        new ErrorReporter(
            List.of(
                error -> err.println("error " + error.kind().number() + ": " + error.message())));
    return new CliContext(out, err, environment, reporter);
  }

  /** Reports an error and returns its exit code. */
  ExitCode reportError(PollensparError error) {
    return ExitCode.of(reporter.report(error));
  }

  /** Creates a client of the platform at the address in the option, else in the environment. */
  PlatformHttpClient platform(@Nullable String option) {
    String address = option != null ? option : environment.get(PLATFORM_VARIABLE);
    if (address == null) {
      throw invalidOption(
          "The platform's address is missing: set --platform or " + PLATFORM_VARIABLE);
    }
    return new PlatformHttpClient(httpUri("--platform", address));
  }

  static URI httpUri(String option, String address) {
    try {
      URI uri = URI.create(address);
      if ("http".equals(uri.getScheme()) && uri.getHost() != null) {
        return uri;
      }
    } catch (IllegalArgumentException e) {
      throw invalidOption(option + ": \"" + address + "\" is not a valid URI: " + e.getMessage());
    }
    throw invalidOption(option + ": \"" + address + "\" is not of the form http://ADDRESS:PORT");
  }

  static PollensparException invalidOption(String what) {
    return PollensparError.of(ErrorKind.INVALID_OPTION, what).asException();
  }
}
