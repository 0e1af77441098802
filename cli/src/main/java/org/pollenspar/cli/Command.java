package org.pollenspar.cli;

/** A subcommand; its fields are filled by JCommander. */
interface Command {

  /** Returns the options that every subcommand has. */
  CommonOptions common();

  /** Runs the command. */
  ExitCode run(CliContext context);
}
