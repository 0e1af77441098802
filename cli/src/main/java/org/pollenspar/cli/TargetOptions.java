package org.pollenspar.cli;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Options that select the processes to query. */
final class TargetOptions {
  @Parameter(
      names = "--platform",
      description = "Address of the platform, http://ADDRESS:PORT; default $POLLENSPAR_PLATFORM")
  @Nullable String platform;

  @Parameter(
      names = "--admin",
      description =
          "ADDRESS:PORT of the admin listener of a process, instead of the platform's host list;"
              + " may be repeated")
  List<String> admin = new ArrayList<>();

  @Parameter(
      names = "--timeout-ms",
      description = "Milliseconds to wait for the answer of each process")
  int timeoutMillis = 2_000;
}
