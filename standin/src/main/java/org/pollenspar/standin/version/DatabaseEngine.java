package org.pollenspar.standin.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.connection.Position;
import org.pollenspar.standin.request.Column;
import org.pollenspar.standin.request.ColumnType;
import org.pollenspar.standin.request.QueryResult;
import org.pollenspar.standin.request.SqlException;
import org.pollenspar.standin.request.SqlStatement;

/**
 * The data of one database, its replicated log and its role (primary or replica) in the group.
 *
 * <p>A promoted database first appends an empty entry of its new term, and the term of a position
 * is the term of the last log entry. A replica therefore reports a term only when its log holds
 * everything that the primary of that term had at its promotion. If a replica reported a term that
 * it had only been told of, the next promotion could prefer it to a database that holds more
 * acknowledged entries.
 *
 * <p>Two terms decide what is accepted: the fenced term is the lowest term whose requests and
 * entries this database still accepts; the led term is the last term in which it was promoted. A
 * primary whose fenced term exceeds its led term accepts no writes.
 *
 * <p>One lock guards all state, including that of the log, the lock table and the transactions.
 * Statements hold it while they run and release it while they wait for a row lock.
 */
public final class DatabaseEngine {
  private static final List<Column> KEY_COLUMNS =
      List.of(
          new Column("key", ColumnType.TEXT, true),
          new Column("fingerprint", ColumnType.TEXT, false),
          new Column("result", ColumnType.TEXT, false),
          new Column("created_ms", ColumnType.INT8, false));

  /** Name of the table of idempotency records. */
  public static final String KEY_TABLE = "pollenspar.keys";

  private static final long DELAYED_ENTRY_POLL_NANOS = 1_000_000;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition locksReleased = lock.newCondition();
  private final Condition stateChanged = lock.newCondition();
  private final ReplicatedLog log = new ReplicatedLog();
  private final EngineCounters counters;
  private final StatementExecutor executor;
  private final LockTable locks;
  private final String id;
  private final IntSupplier connections;
  private final Runnable onDemotion;
  private DatabaseRole role = DatabaseRole.REPLICA;
  private long fencedTerm;
  private long ledTerm;

  /**
   * Creates an empty replica.
   *
   * @param id name of the database
   * @param maxLockWaitMillis longest time that a statement waits for a row lock
   * @param connections supplies the number of open connections
   * @param onDemotion called, with the lock held, when the database stops being the primary or
   *     truncates its log; must not block
   */
  public DatabaseEngine(
      String id,
      long maxLockWaitMillis,
      EngineCounters counters,
      IntSupplier connections,
      Runnable onDemotion) {
    this.id = id;
    this.counters = counters;
    this.connections = connections;
    this.onDemotion = onDemotion;
    this.locks = new LockTable(locksReleased, maxLockWaitMillis);
    this.executor = new StatementExecutor(log, locks);
    log.tables.put(KEY_TABLE, new Table(KEY_TABLE, KEY_COLUMNS));
  }

  /** Returns the state that status queries report. */
  public DatabaseState state() {
    return withLock(this::currentState);
  }

  /**
   * Returns the state as soon as the offset exceeds {@code afterOffset} or a term changes, at the
   * latest after {@code timeoutMillis}.
   */
  public DatabaseState waitState(long afterOffset, long timeoutMillis) throws SqlException {
    lock.lock();
    try {
      long left = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
      DatabaseState before = currentState();
      while (left > 0 && log.offset() <= afterOffset && termsUnchanged(before)) {
        left = stateChanged.awaitNanos(left);
      }
      return currentState();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new SqlException("57P01", "terminating connection due to administrator command");
    } finally {
      lock.unlock();
    }
  }

  public Transaction begin(boolean readOnly) {
    return new Transaction(readOnly);
  }

  /**
   * Runs a statement in a transaction.
   *
   * @param owner the caller named in the statement's comment; empty if it names none
   */
  public QueryResult execute(Transaction transaction, SqlStatement statement, String owner)
      throws SqlException {
    lock.lock();
    try {
      LockTable.checkCancelled(transaction);
      recordOwner(transaction, owner);
      if (statement.writes()) {
        requireWritable(transaction);
        counters.writes.increment();
      } else {
        counters.reads.increment();
      }
      return executor.execute(transaction, statement);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Commits and releases the locks; the transaction ends even if this fails. Returns whether it
   * changed data.
   */
  public boolean commit(Transaction transaction) throws SqlException {
    lock.lock();
    try {
      List<Change> changes = changesOf(transaction);
      if (!changes.isEmpty()) {
        requireWritable(transaction);
        appendLocal(changes);
        counters.commits.increment();
      }
      return !changes.isEmpty();
    } finally {
      locks.release(transaction);
      lock.unlock();
    }
  }

  /** Discards the transaction's changes and releases its locks. */
  public void rollback(Transaction transaction) {
    lock.lock();
    try {
      locks.release(transaction);
      counters.rollbacks.increment();
    } finally {
      lock.unlock();
    }
  }

  /** Makes the transaction's current statement fail if it waits for a lock, else the next one. */
  public void cancel(Transaction transaction) {
    lock.lock();
    try {
      transaction.cancelled = true;
      locksReleased.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Rejects requests of terms below {@code term} from now on. Returns false, without effect, if a
   * later term is fenced already.
   */
  public boolean fence(long term) {
    return withLock(
        () -> {
          if (term < fencedTerm) {
            return false;
          }
          fencedTerm = term;
          stateChanged.signalAll();
          return true;
        });
  }

  /**
   * Makes this database the primary of a term. Returns false, without effect, if a later term is
   * known; returns true if it is the primary of this term already.
   */
  public boolean promote(long term) {
    return withLock(
        () -> {
          if (term < fencedTerm || term < ledTerm || term < log.position().term()) {
            return false;
          }
          if (role == DatabaseRole.PRIMARY && term == ledTerm) {
            return true;
          }
          role = DatabaseRole.PRIMARY;
          fencedTerm = term;
          ledTerm = term;
          appendLocal(List.of());
          return true;
        });
  }

  /**
   * Appends entries sent by a primary. A suffix of the own log that differs from the primary's is
   * undone and truncated. A request of a current term demotes this database if it is a primary.
   */
  public AppendReply append(AppendRequest request, long lagMillis) {
    return withLock(
        () -> {
          boolean stale =
              request.term() < fencedTerm
                  || (role == DatabaseRole.PRIMARY && request.term() <= ledTerm);
          if (stale) {
            return new AppendReply(false, true, log.offset(), lagMillis);
          }
          demote();
          fencedTerm = request.term();
          boolean accepted = acceptEntries(request);
          stateChanged.signalAll();
          return new AppendReply(accepted, false, log.offset(), lagMillis);
        });
  }

  /** Returns the term in which this database is the primary; empty if it is a replica. */
  public Optional<Long> primaryTerm() {
    return withLock(
        () -> role == DatabaseRole.PRIMARY ? Optional.of(ledTerm) : Optional.<Long>empty());
  }

  /**
   * Waits for entries after an offset and returns them as a request to a replica.
   *
   * @param lagMillis age, in milliseconds, that an entry must have before it is sent
   * @param waitMillis longest wait; after that an empty request (a heartbeat) is returned
   * @param limit largest number of entries returned
   */
  public AppendRequest entriesAfter(long offset, long lagMillis, long waitMillis, int limit)
      throws InterruptedException {
    lock.lock();
    try {
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
      long lag = TimeUnit.MILLISECONDS.toNanos(lagMillis);
      long from = Math.min(offset, log.offset());
      List<LogEntry> entries = log.entriesAfter(from, System.nanoTime() - lag, limit);
      for (long left = end - System.nanoTime();
          entries.isEmpty() && left > 0;
          left = end - System.nanoTime()) {
        // No signal is given when a delayed entry reaches its age, so poll while there is one.
        boolean delayed = log.offset() > from;
        stateChanged.awaitNanos(delayed ? Math.min(left, DELAYED_ENTRY_POLL_NANOS) : left);
        entries = log.entriesAfter(from, System.nanoTime() - lag, limit);
      }
      return new AppendRequest(ledTerm, log.termAt(from), from, entries);
    } finally {
      lock.unlock();
    }
  }

  /** Returns the number of committed rows of a table; 0 if it does not exist. */
  public int rowCount(String table) {
    return withLock(() -> log.table(table).map(t -> t.rows.size()).orElse(0));
  }

  private boolean acceptEntries(AppendRequest request) {
    if (request.previousOffset() > log.offset()) {
      return false;
    }
    if (log.termAt(request.previousOffset()) != request.previousTerm()) {
      truncate(request.previousOffset() - 1);
      return false;
    }
    for (LogEntry entry : request.entries()) {
      if (entry.offset() <= log.offset() && log.termAt(entry.offset()) == entry.term()) {
        continue;
      }
      truncate(entry.offset() - 1);
      log.append(entry, System.nanoTime());
    }
    return true;
  }

  private void truncate(long offset) {
    if (log.offset() > offset) {
      counters.truncatedEntries.add(log.offset() - offset);
      log.truncate(offset);
      onDemotion.run();
    }
  }

  private void demote() {
    if (role == DatabaseRole.PRIMARY) {
      role = DatabaseRole.REPLICA;
      onDemotion.run();
    }
  }

  private void appendLocal(List<Change> changes) {
    log.append(new LogEntry(ledTerm, log.offset() + 1, changes), System.nanoTime());
    stateChanged.signalAll();
  }

  private static List<Change> changesOf(Transaction transaction) {
    List<Change> changes = new ArrayList<>();
    transaction.created.forEach(
        (name, table) -> changes.add(new Change(name, table.columns(), null, null)));
    transaction.writes.forEach(
        (key, row) -> changes.add(new Change(key.table(), null, key.key(), row.orElse(null))));
    return changes;
  }

  private void recordOwner(Transaction transaction, String owner) {
    if (owner.isEmpty()) {
      return;
    }
    if (!transaction.owner.isEmpty() && !transaction.owner.equals(owner)) {
      counters.mixedOwners.increment();
    }
    transaction.owner = owner;
  }

  private void requireWritable(Transaction transaction) throws SqlException {
    if (transaction.readOnly || role != DatabaseRole.PRIMARY || fencedTerm > ledTerm) {
      throw new SqlException("25006", "cannot execute a write in a read-only transaction");
    }
    if (transaction.term != 0 && transaction.term != ledTerm) {
      throw new SqlException("40001", "the database was promoted again during the transaction");
    }
    transaction.term = ledTerm;
  }

  private boolean termsUnchanged(DatabaseState before) {
    return before.fencedTerm() == fencedTerm && before.logTerm() == log.position().term();
  }

  private DatabaseState currentState() {
    Position position = log.position();
    return new DatabaseState(
        id, role, fencedTerm, position.term(), position.offset(), connections.getAsInt());
  }

  private <T> T withLock(Supplier<T> action) {
    lock.lock();
    try {
      return action.get();
    } finally {
      lock.unlock();
    }
  }
}
