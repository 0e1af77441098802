package org.pollenspar.standin.connection;

import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Faults that a database shows on demand. */
public final class DatabaseFaults {
  private static final int GARBAGE_BYTES = 64;
  private static final long GARBAGE_SEED = 20_261_204;

  /** New connections are refused with 57P03. */
  public volatile boolean rejectConnections;

  /** Connections are accepted and statements received, but nothing is answered. */
  public volatile boolean frozen;

  /** Replication and control links are cut; callers are served. */
  public volatile boolean partitioned;

  /** Added to every answer, in milliseconds. */
  public volatile long latencyMillis;

  /** How long this database, as a replica, lets entries be held back, in milliseconds. */
  public volatile long lagMillis;

  /** The next answers are replaced by random bytes. */
  public final AtomicInteger garbageAnswers = new AtomicInteger();

  /** The next answers end half-way, and the connection is closed. */
  public final AtomicInteger truncatedAnswers = new AtomicInteger();

  /** After the next commits the connection is closed without an answer. */
  public final AtomicInteger lostCommitAnswers = new AtomicInteger();

  private final Random garbage = new Random(GARBAGE_SEED);

  /** Returns the next garbage answer; the sequence is the same in every run. */
  synchronized byte[] nextGarbage() {
    byte[] bytes = new byte[GARBAGE_BYTES];
    garbage.nextBytes(bytes);
    return bytes;
  }

  /** Takes one from a budget of faults; returns whether there was one. */
  public static boolean consume(AtomicInteger budget) {
    return budget.get() > 0 && budget.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
  }
}
