package org.pollenspar.core.process;

import java.lang.System.Logger.Level;

/** How serious an error is, and the log level that goes with it. */
public enum Severity {
  /** Refused input or overload: expected in operation, counted but not logged. */
  NOTICE(Level.DEBUG),
  /** A part of the system is degraded; requests are still served. */
  WARNING(Level.WARNING),
  /** A guarantee is at risk, or a program cannot start. */
  ERROR(Level.ERROR);

  private final Level level;

  Severity(Level level) {
    this.level = level;
  }

  public Level level() {
    return level;
  }
}
