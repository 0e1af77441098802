package org.pollenspar.load;

import java.util.Arrays;
import org.pollenspar.load.capacity.CapacityProgram;
import org.pollenspar.load.process.LoadProgram;

/** Command line of the load generator and of the capacity experiment. */
public final class LoadMain {
  private static final String CAPACITY = "capacity";

  private LoadMain() {}

  /** Runs the named program and ends the process with its exit code. */
  public static void main(String[] arguments) throws InterruptedException {
    if (arguments.length > 0 && arguments[0].equals(CAPACITY)) {
      String[] rest = Arrays.copyOfRange(arguments, 1, arguments.length);
      System.exit(new CapacityProgram(System.out, System.err).run(rest));
    }
    // Proxies close idle connections after 10 s. The client closes them earlier, because a request
    // on a connection that is being closed would fail.
    System.setProperty("jdk.httpclient.keepalive.timeout", "5");
    System.exit(new LoadProgram(System.out, System.err).run(arguments));
  }
}
