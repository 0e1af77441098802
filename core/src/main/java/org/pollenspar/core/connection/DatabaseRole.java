package org.pollenspar.core.connection;

import java.util.Locale;

/** What a database says of itself. */
public enum DatabaseRole {
  PRIMARY,
  REPLICA;

  /** Returns the name used in protocols. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Parses the name used in protocols. */
  public static DatabaseRole ofWireName(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }
}
