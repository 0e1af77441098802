package org.pollenspar.standin.process;

import com.beust.jcommander.Parameter;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;

/** Options of the database stand-in. */
public final class DatabaseOptions {
  private static final int MAX_PORT = 65_535;
  private static final int MAX_WORKERS = 1000;
  private static final long MAX_MILLIS = 3_600_000;

  @Parameter(names = "--id", description = "name of the database")
  public String id = "";

  @Parameter(names = "--address", description = "IP number to listen on")
  public String address = "127.0.0.1";

  @Parameter(names = "--port", description = "port of the PostgreSQL protocol; 0 takes a free one")
  public int port;

  @Parameter(names = "--control-port", description = "port of the control API; 0 takes a free one")
  public int controlPort;

  @Parameter(names = "--max-connections", description = "limit on open connections")
  public int maxConnections = 50;

  @Parameter(names = "--connect-ms", description = "time to open a connection, ms")
  public long connectMillis = 10;

  @Parameter(names = "--service-ms", description = "time of one statement, ms")
  public double serviceMillis = 1;

  @Parameter(names = "--workers", description = "statements that run at once")
  public int workers = 8;

  @Parameter(names = "--lag-ms", description = "replication lag while a replica, ms")
  public long lagMillis;

  @Parameter(names = "--lock-wait-ms", description = "longest wait for a row, ms")
  public long lockWaitMillis = 1000;

  @Parameter(names = "--help", help = true, description = "print the options")
  public boolean help;

  /** Refuses values that the database cannot work with. */
  void check() {
    if (id.isEmpty()) {
      throw PollensparError.of(ErrorKind.INVALID_OPTION, "--id is missing").asException();
    }
    require("--port", port, 0, MAX_PORT);
    require("--control-port", controlPort, 0, MAX_PORT);
    require("--max-connections", maxConnections, 1, Integer.MAX_VALUE);
    require("--connect-ms", connectMillis, 0, MAX_MILLIS);
    require("--service-ms", (long) Math.floor(serviceMillis), 0, MAX_MILLIS);
    require("--workers", workers, 1, MAX_WORKERS);
    require("--lag-ms", lagMillis, 0, MAX_MILLIS);
    require("--lock-wait-ms", lockWaitMillis, 0, MAX_MILLIS);
  }

  private static void require(String name, long value, long lowest, long highest) {
    if (value < lowest || value > highest) {
      String message = name + " is " + value + ", allowed is " + lowest + " to " + highest;
      throw PollensparError.of(ErrorKind.INVALID_OPTION, message).asException();
    }
  }

  /** Returns options for tests: free ports, no delays. */
  public static DatabaseOptions immediate(String id) {
    DatabaseOptions options = new DatabaseOptions();
    options.id = id;
    options.connectMillis = 0;
    options.serviceMillis = 0;
    return options;
  }
}
