package org.pollenspar.core.process;

/** Receives events of membership, leases and primaries, for logs and metrics. */
public interface ControlListener {
  /**
   * Called when this host has made or observed a change.
   *
   * @param event stable name of the event
   * @param subject group, member or dependency that it is about
   * @param detail what led to the decision, and its outcome
   */
  void changed(String event, String subject, String detail);
}
