package org.pollenspar.cli;

/** A subcommand; JCommander sets its fields from the arguments. */
interface Command {

  /** Returns the options that every subcommand has. */
  CommonOptions common();

  ExitCode run(CliContext context);
}
