package org.pollenspar.core.process;

/**
 * Sources of time. Neither alone measures elapsed time reliably: the steady clock stops while a
 * host is paused, and the time of day can jump.
 */
public interface Clocks {
  /** Returns steady time in nanoseconds from an arbitrary origin. */
  long steadyNanos();

  /** Returns the time of day in milliseconds since the epoch. */
  long wallMillis();
}
