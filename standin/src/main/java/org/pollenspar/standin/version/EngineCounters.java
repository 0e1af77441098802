package org.pollenspar.standin.version;

import java.util.concurrent.atomic.LongAdder;

/** Counters of the statements, transactions and log truncations of one database. */
public final class EngineCounters {
  public final LongAdder reads = new LongAdder();
  public final LongAdder writes = new LongAdder();
  public final LongAdder commits = new LongAdder();
  public final LongAdder rollbacks = new LongAdder();
  public final LongAdder truncatedEntries = new LongAdder();

  /**
   * Statements whose owner differs from that of the statement before in the same transaction. A
   * value above 0 means that statements of two callers ran in one transaction.
   */
  public final LongAdder mixedOwners = new LongAdder();
}
