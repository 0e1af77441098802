package org.pollenspar.core.process;

/**
 * Sources of time. Neither alone bounds elapsed time: the steady clock stops while a host is
 * suspended, and the time of day can jump.
 */
public interface Clocks {
  /** Returns steady time in nanoseconds from an arbitrary origin. */
  long steadyNanos();

  /** Returns the time of day in milliseconds since the epoch. */
  long wallMillis();
}
