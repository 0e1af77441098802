package org.pollenspar.load.process;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** Options of the load generator. */
public final class LoadOptions {
  @Parameter(
      names = "--proxies",
      required = true,
      description = "base URLs of the proxies, separated by commas")
  public List<String> proxies = new ArrayList<>();

  @Parameter(names = "--plan", required = true, description = "TOML file with kinds and phases")
  public String plan = "";

  @Parameter(
      names = "--seconds",
      description = "total length of the run in seconds; 0 keeps the lengths in the plan")
  public double seconds;

  @Parameter(names = "--seed", description = "seed of arrival times and random choices")
  public long seed = 1;

  @Parameter(names = "--csv", description = "file for the statistics as CSV")
  public String csv = "";

  @Parameter(
      names = "--settle-seconds",
      description = "seconds to settle unknown outcomes after the load")
  public int settleSeconds = 30;

  @Parameter(
      names = "--max-in-flight",
      description = "maximum number of requests without an answer")
  public int maxInFlight = 4000;

  @Parameter(
      names = "--run-id",
      description = "prefix of ids of rows and of keys; empty to generate one")
  public String runId = "";

  @Parameter(names = "--help", help = true, description = "print the options")
  public boolean help;

  @Parameter(names = "--version", help = true, description = "print the version")
  public boolean version;
}
