package org.pollenspar.failover;

import org.pollenspar.failover.process.FailoverProgram;
import org.pollenspar.net.process.Launcher;
import org.pollenspar.net.process.ProgramName;

/** Main class of {@code bin/pollenspar-failover}. */
public final class FailoverMain {
  private FailoverMain() {}

  /** Runs the agent until SIGTERM. */
  public static void main(String[] args) {
    Launcher launcher = new Launcher(ProgramName.FAILOVER, System.out, System.err);
    int code = launcher.run(args, FailoverProgram::run);
    if (code != Launcher.EXIT_OK) {
      System.exit(code);
    }
  }
}
