package org.pollenspar.standin.process;

import com.beust.jcommander.Parameter;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;

/** Command line options of the database stand-in. */
public final class DatabaseOptions {
  private static final int MAX_PORT = 65_535;
  private static final int MAX_WORKERS = 1000;
  private static final long MAX_MILLIS = 3_600_000;

  @Parameter(names = "--id", description = "name of the database")
  public String id = "";

  @Parameter(names = "--address", description = "IP address to listen on")
  public String address = "127.0.0.1";

  @Parameter(names = "--port", description = "port of the PostgreSQL protocol; 0 picks a free one")
  public int port;

  @Parameter(names = "--control-port", description = "port of the control API; 0 picks a free one")
  public int controlPort;

  @Parameter(names = "--max-connections", description = "limit of open connections")
  public int maxConnections = 50;

  @Parameter(names = "--connect-ms", description = "time that opening a connection takes, in ms")
  public long connectMillis = 10;

  @Parameter(names = "--service-ms", description = "time that one statement takes, in ms")
  public double serviceMillis = 1;

  @Parameter(names = "--workers", description = "number of statements that run concurrently")
  public int workers = 8;

  @Parameter(
      names = "--lag-ms",
      description = "replication lag while the database is a replica, in ms")
  public long lagMillis;

  @Parameter(names = "--lock-wait-ms", description = "longest wait for a row lock, in ms")
  public long lockWaitMillis = 1000;

  @Parameter(names = "--help", help = true, description = "print the options")
  public boolean help;

  /** Throws an exception that names the first option that is missing or out of range. */
  void validate() {
    if (id.isEmpty()) {
      throw PollensparError.of(ErrorKind.INVALID_OPTION, "--id is missing").asException();
    }
    requireRange("--port", port, 0, MAX_PORT);
    requireRange("--control-port", controlPort, 0, MAX_PORT);
    requireRange("--max-connections", maxConnections, 1, Integer.MAX_VALUE);
    requireRange("--connect-ms", connectMillis, 0, MAX_MILLIS);
    requireRange("--service-ms", (long) Math.floor(serviceMillis), 0, MAX_MILLIS);
    requireRange("--workers", workers, 1, MAX_WORKERS);
    requireRange("--lag-ms", lagMillis, 0, MAX_MILLIS);
    requireRange("--lock-wait-ms", lockWaitMillis, 0, MAX_MILLIS);
  }

  private static void requireRange(String name, long value, long minimum, long maximum) {
    if (value < minimum || value > maximum) {
      String message = name + " is " + value + ", allowed is " + minimum + " to " + maximum;
      throw PollensparError.of(ErrorKind.INVALID_OPTION, message).asException();
    }
  }

  /** Returns options for tests: free ports, and no delay for connections and statements. */
  public static DatabaseOptions immediate(String id) {
    DatabaseOptions options = new DatabaseOptions();
    options.id = id;
    options.connectMillis = 0;
    options.serviceMillis = 0;
    return options;
  }
}
