package org.pollenspar.edge.process;

import org.pollenspar.core.process.Clocks;

/** The clocks of the host that the process runs on. */
public final class SystemClocks implements Clocks {
  @Override
  public long steadyNanos() {
    return System.nanoTime();
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }
}
