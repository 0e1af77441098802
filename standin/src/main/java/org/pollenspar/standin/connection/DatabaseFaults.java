package org.pollenspar.standin.connection;

import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Faults to inject into a database; fields may be set at any time from any thread. */
public final class DatabaseFaults {
  private static final int GARBAGE_BYTES = 64;
  private static final long GARBAGE_SEED = 20_261_204;

  /** Whether new connections are refused with SQLSTATE 57P03. */
  public volatile boolean rejectConnections;

  /** Whether nothing is answered; connections are still accepted and statements received. */
  public volatile boolean frozen;

  /** Whether replication and control requests fail; clients' connections keep working. */
  public volatile boolean partitioned;

  /** Delay added to every answer, in milliseconds. */
  public volatile long latencyMillis;

  /**
   * Simulated replication lag: as a replica, this database asks the primary to send entries only
   * when they have this age, in milliseconds.
   */
  public volatile long lagMillis;

  /** Number of following answers that are replaced by random bytes. */
  public final AtomicInteger garbageAnswers = new AtomicInteger();

  /** Number of following answers that are cut off in the middle; the connection is closed. */
  public final AtomicInteger truncatedAnswers = new AtomicInteger();

  /** Number of following commits after which the connection is closed without an answer. */
  public final AtomicInteger lostCommitAnswers = new AtomicInteger();

  private final Random garbage = new Random(GARBAGE_SEED);

  /** Returns random bytes; a fixed seed makes their sequence the same in every run. */
  synchronized byte[] nextGarbage() {
    byte[] bytes = new byte[GARBAGE_BYTES];
    garbage.nextBytes(bytes);
    return bytes;
  }

  /** Decrements a number of pending faults unless it is 0; returns whether it was above 0. */
  public static boolean consume(AtomicInteger budget) {
    return budget.get() > 0 && budget.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
  }
}
