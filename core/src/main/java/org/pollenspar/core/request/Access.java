package org.pollenspar.core.request;

import java.util.Locale;

/** Whether a kind of work reads or changes data. */
public enum Access {
  READ,
  WRITE;

  /** Returns the value of the key {@code access} in the fleet file. */
  public String nameInFile() {
    return name().toLowerCase(Locale.ROOT);
  }
}
