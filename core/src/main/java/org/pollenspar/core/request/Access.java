package org.pollenspar.core.request;

import java.util.Locale;

/** Whether a kind of work changes data. */
public enum Access {
  READ,
  WRITE;

  /** Returns the name used in files. */
  public String fileName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
