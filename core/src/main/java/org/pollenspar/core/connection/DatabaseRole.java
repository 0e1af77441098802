package org.pollenspar.core.connection;

import java.util.Locale;

/** Role that a database reports. */
public enum DatabaseRole {
  PRIMARY,
  REPLICA;

  /** Returns the name used in protocol messages. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Parses the name used in protocol messages. */
  public static DatabaseRole ofWireName(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }
}
