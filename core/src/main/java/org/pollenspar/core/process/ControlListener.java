package org.pollenspar.core.process;

/** Receives changes of what the process believes, for logs and metrics. */
public interface ControlListener {
  /**
   * Something changed.
   *
   * @param event stable name of the event
   * @param subject group, member or dependency that it is about
   * @param detail inputs of the decision and its outcome
   */
  void changed(String event, String subject, String detail);
}
