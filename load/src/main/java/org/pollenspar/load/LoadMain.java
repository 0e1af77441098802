package org.pollenspar.load;

import org.pollenspar.load.process.LoadProgram;

/** Command line of the load generator. */
public final class LoadMain {
  private LoadMain() {}

  /** Runs the load generator and ends the process with its exit code. */
  public static void main(String[] arguments) throws InterruptedException {
    // Proxies close idle connections after 10 s; a request on one that is being closed would fail.
    System.setProperty("jdk.httpclient.keepalive.timeout", "5");
    System.exit(new LoadProgram(System.out, System.err).run(arguments));
  }
}
