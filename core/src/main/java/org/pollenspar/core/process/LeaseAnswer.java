package org.pollenspar.core.process;

/** Answer to the request for the advisory lease of a group. */
public enum LeaseAnswer {
  GRANTED(true),
  /** The key-value service gave no answer in time; the term alone protects the failover. */
  UNAVAILABLE(true),
  HELD_BY_OTHER(false);

  private final boolean proceeds;

  LeaseAnswer(boolean proceeds) {
    this.proceeds = proceeds;
  }

  /** Returns whether the failover goes on. */
  public boolean proceeds() {
    return proceeds;
  }
}
