package org.pollenspar.cli;

import com.beust.jcommander.Parameter;

/** Options that the program and each subcommand accept. */
final class CommonOptions {
  @Parameter(names = "--help", help = true, description = "Print the options and exit")
  boolean help;

  @Parameter(names = "--version", help = true, description = "Print the version and exit")
  boolean version;
}
