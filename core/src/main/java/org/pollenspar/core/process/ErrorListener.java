package org.pollenspar.core.process;

/** Receives every error that an {@link ErrorReporter} reports. */
@FunctionalInterface
public interface ErrorListener {

  /** Called on the thread that reports the error; must not block. */
  void reported(PollensparError error);
}
