package org.pollenspar.standin.process;

import com.beust.jcommander.Parameter;

/** Options of the database stand-in. */
public final class DatabaseOptions {
  @Parameter(names = "--id", required = true, description = "name of the database")
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

  /** Returns options for tests: free ports, no delays. */
  public static DatabaseOptions immediate(String id) {
    DatabaseOptions options = new DatabaseOptions();
    options.id = id;
    options.connectMillis = 0;
    options.serviceMillis = 0;
    return options;
  }
}
