package org.pollenspar.core.process;

/** Answer to the request for the advisory lease of a group. */
public enum LeaseAnswer {
  GRANTED(true),
  /**
   * The key-value service did not answer in time. The failover goes on, because the term alone
   * ensures that at most one database is promoted.
   */
  UNAVAILABLE(true),
  HELD_BY_OTHER(false);

  private final boolean proceeds;

  LeaseAnswer(boolean proceeds) {
    this.proceeds = proceeds;
  }

  public boolean proceeds() {
    return proceeds;
  }
}
