package org.pollenspar.net.process;

/** A program that is started with a settings file. */
public enum ProgramName {
  PROXY("pollenspar-proxy", "Serves callers: sessions, admission and transactions."),
  FAILOVER("pollenspar-failover", "Watches database groups and orders promotions.");

  private final String command;
  private final String summary;

  ProgramName(String command, String summary) {
    this.command = command;
    this.summary = summary;
  }

  public String command() {
    return command;
  }

  /** Returns the first sentence of the program's help. */
  public String summary() {
    return summary;
  }
}
