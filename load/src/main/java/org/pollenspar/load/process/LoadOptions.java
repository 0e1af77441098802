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

  @Parameter(names = "--seconds", description = "total length; 0 keeps the plan's phases")
  public double seconds;

  @Parameter(names = "--seed", description = "seed of arrivals and choices")
  public long seed = 1;

  @Parameter(names = "--csv", description = "file for the figures as CSV")
  public String csv = "";

  @Parameter(names = "--settle-seconds", description = "time to settle unknown outcomes")
  public int settleSeconds = 30;

  @Parameter(names = "--max-in-flight", description = "requests without an answer at once")
  public int maxInFlight = 4000;

  @Parameter(names = "--run-id", description = "prefix of rows and keys; empty for a new one")
  public String runId = "";

  @Parameter(names = "--help", help = true, description = "print the options")
  public boolean help;

  @Parameter(names = "--version", help = true, description = "print the version")
  public boolean version;
}
