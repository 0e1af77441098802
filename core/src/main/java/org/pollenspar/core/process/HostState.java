package org.pollenspar.core.process;

/** Whether a host stays in the fleet, according to the platform's host list. */
public enum HostState {
  LIVE,
  LEAVING;

  /** Returns whether new work may be sent to the host. */
  public boolean acceptsNewWork() {
    return this == LIVE;
  }
}
