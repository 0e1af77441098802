package org.pollenspar.core.process;

/** Guarantees to callers that are checked while the program runs. */
public enum Invariant {
  READ_YOUR_WRITES("P1", "a read includes the session's earlier writes"),
  NO_STALE_ACKNOWLEDGEMENT("P2", "no write is acknowledged by a replaced primary"),
  TRANSACTION_ISOLATION("P3", "a connection serves one request at a time"),
  ANSWER_MATCHES_REQUEST("P4", "an answer belongs to its request and is whole"),
  NOT_RUN_MEANS_NOT_RUN("P5", "work reported as not run was not run"),
  AT_MOST_ONCE("P6", "a write with a key runs at most once"),
  LEAVING_HOST_IDLE("P7", "a leaving backend server receives no new work"),
  DRAIN_CUTS_NOTHING("P8", "a graceful shutdown finishes work in progress"),
  VERSION_MONOTONIC("P9", "the configuration version never goes back");

  private final String promise;
  private final String description;

  Invariant(String promise, String description) {
    this.promise = promise;
    this.description = description;
  }

  /** Returns the number of the guarantee in the design document. */
  public String promise() {
    return promise;
  }

  public String description() {
    return description;
  }
}
