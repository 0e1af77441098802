package org.pollenspar.standin.version;

import java.util.concurrent.atomic.LongAdder;

/** Counts what a database executed. */
public final class EngineCounters {
  public final LongAdder reads = new LongAdder();
  public final LongAdder writes = new LongAdder();
  public final LongAdder commits = new LongAdder();
  public final LongAdder rollbacks = new LongAdder();
  public final LongAdder truncatedEntries = new LongAdder();
  public final LongAdder mixedOwners = new LongAdder();
}
