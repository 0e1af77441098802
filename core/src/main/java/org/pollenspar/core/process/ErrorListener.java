package org.pollenspar.core.process;

/** Receives every error that an {@link ErrorReporter} reports. */
@FunctionalInterface
public interface ErrorListener {

  /** Called on the reporting thread; must not block. */
  void reported(PollensparError error);
}
