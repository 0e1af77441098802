package org.pollenspar.standin.process;

import com.beust.jcommander.Parameter;

/** Command line options of the platform stand-in. */
final class PlatformOptions {
  @Parameter(names = "--topology", description = "TOML file with hosts, groups and databases")
  String topology = "";

  @Parameter(names = "--address", description = "IP address to listen on")
  String address = "127.0.0.1";

  @Parameter(names = "--port", description = "port to listen on; 0 picks a free one")
  int port;

  @Parameter(names = "--help", help = true, description = "print the options")
  boolean help;
}
