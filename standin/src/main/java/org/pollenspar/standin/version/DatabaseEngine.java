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
 * The data of one database and its role in the group.
 *
 * <p>Every term starts with an empty entry in the log, and the position's term is that of the last
 * entry. So a replica reports a term only when it holds everything that the primary of that term
 * had at its promotion; a replica that merely heard of a new term could otherwise outrank a
 * database with more acknowledged entries in the next promotion.
 *
 * <p>One lock guards everything; statements hold it while they run, and release it while they wait
 * for a row.
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
   * @param maxLockWaitMillis how long a statement waits for a row
   * @param connections gives the number of open connections
   * @param onDemotion called when the database stops being the primary or loses entries; must not
   *     block
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

  /** Returns the state that a probe sees. */
  public DatabaseState state() {
    return withLock(this::currentState);
  }

  /** Waits until the offset exceeds {@code afterOffset}, a term changes or the time is over. */
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

  /** Opens a transaction. */
  public Transaction begin(boolean readOnly) {
    return new Transaction(readOnly);
  }

  /** Runs a statement in a transaction; {@code owner} is empty if the statement names none. */
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

  /** Commits; the transaction is over even if this fails. Returns whether it changed anything. */
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

  /** Makes the transaction's current or next statement fail. */
  public void cancel(Transaction transaction) {
    lock.lock();
    try {
      transaction.cancelled = true;
      locksReleased.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Refuses terms below {@code term} from now on; returns whether the order was accepted. */
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

  /** Makes this database the primary of a term; returns whether the order was accepted. */
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

  /** Accepts entries from a primary, undoing a suffix that differs from its log. */
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

  /** Returns the term that this database leads as a primary, empty if it is a replica. */
  public Optional<Long> primaryTerm() {
    return withLock(
        () -> role == DatabaseRole.PRIMARY ? Optional.of(ledTerm) : Optional.<Long>empty());
  }

  /**
   * Waits for entries after an offset and returns them in a request to a replica.
   *
   * @param lagMillis age that an entry must have
   * @param waitMillis longest wait; an empty request is returned after that
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
        // A held-back entry becomes due without a signal.
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
