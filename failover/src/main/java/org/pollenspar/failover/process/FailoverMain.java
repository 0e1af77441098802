package org.pollenspar.failover.process;

import java.util.concurrent.CountDownLatch;
import org.pollenspar.net.process.Launcher;
import org.pollenspar.net.process.ProcessSettings;
import org.pollenspar.net.process.ProgramName;

/** The command line of {@code pollenspar-failover}. */
public final class FailoverMain {
  private FailoverMain() {}

  /** Starts the agent and runs it until the process is terminated. */
  public static void main(String[] args) {
    Launcher launcher = new Launcher(ProgramName.FAILOVER, System.out, System.err);
    System.exit(launcher.run(args, FailoverMain::run));
  }

  private static void run(ProcessSettings settings) throws InterruptedException {
    CountDownLatch ended = new CountDownLatch(1);
    try (FailoverProgram program = new FailoverProgram(settings)) {
      Runtime.getRuntime().addShutdownHook(new Thread(ended::countDown, "shutdown"));
      ended.await();
    }
  }
}
