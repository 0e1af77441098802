package org.pollenspar.standin.version;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import org.jspecify.annotations.Nullable;
import org.pollenspar.standin.request.SqlException;

/**
 * Exclusive row locks, held to the end of the transaction. Guarded by the lock of the {@link
 * DatabaseEngine}; the condition belongs to that lock and is signalled when locks are released or a
 * transaction is cancelled.
 *
 * <p>A transaction waits for at most one other, so a deadlock is a cycle in a chain of waits. It is
 * looked for before each wait, by following the chain from the holder of the lock.
 */
final class LockTable {
  private final Map<RowKey, Transaction> holders = new HashMap<>();
  private final Condition released;
  private final long maxWaitMillis;

  LockTable(Condition released, long maxWaitMillis) {
    this.released = released;
    this.maxWaitMillis = maxWaitMillis;
  }

  /** Locks a row; waits for a lock of another transaction up to the time limit. */
  void lock(Transaction transaction, RowKey key) throws SqlException {
    long left = TimeUnit.MILLISECONDS.toNanos(maxWaitMillis);
    Transaction holder = holders.get(key);
    while (holder != null && holder != transaction) {
      if (isWaitingFor(holder, transaction)) {
        throw new SqlException("40P01", "deadlock detected");
      }
      if (left <= 0) {
        throw new SqlException("55P03", "canceling statement due to lock timeout");
      }
      left = awaitRelease(transaction, holder, left);
      holder = holders.get(key);
    }
    holders.put(key, transaction);
    transaction.locks.add(key);
  }

  void release(Transaction transaction) {
    transaction.locks.forEach(holders::remove);
    transaction.locks.clear();
    released.signalAll();
  }

  private long awaitRelease(Transaction transaction, Transaction holder, long nanos)
      throws SqlException {
    transaction.waitsFor = holder;
    try {
      long left = released.awaitNanos(nanos);
      checkCancelled(transaction);
      return left;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new SqlException("57P01", "terminating connection due to administrator command");
    } finally {
      transaction.waitsFor = null;
    }
  }

  static void checkCancelled(Transaction transaction) throws SqlException {
    if (transaction.cancelled) {
      transaction.cancelled = false;
      throw new SqlException("57014", "canceling statement due to user request");
    }
  }

  /** Returns whether {@code from} is the target or waits for it, directly or through others. */
  private static boolean isWaitingFor(@Nullable Transaction from, Transaction target) {
    for (Transaction next = from; next != null; next = next.waitsFor) {
      if (next == target) {
        return true;
      }
    }
    return false;
  }
}
