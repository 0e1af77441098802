package org.pollenspar.core.connection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;

/**
 * The connections of this host to one database and the requests that wait for them.
 *
 * <p>The number of connections is also the limit of what this host runs there at once, so that the
 * waiting happens here, by rank, and not in the database's queue, which knows no ranks. Connections
 * are opened on demand. After a failure to connect, waiting requests are refused at once and the
 * next attempt waits, twice as long each time.
 */
public final class ConnectionPool {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long FIRST_BACKOFF_MS = 100;
  private static final long LONGEST_BACKOFF_MS = 1_600;
  private static final long LIMIT_BACKOFF_MS = 150;
  private static final double SMOOTHING = 0.1;
  private static final long PACING_POLL_MS = 20;

  /** Assumed time of one use of a connection before the first was measured. */
  private static final double INITIAL_USE_NANOS = 20e6;

  private final PhysicalConnection.Opener opener;
  private final Clocks clocks;
  private final Timers timers;
  private final Set<PooledDatabaseConnection> connections = new HashSet<>();
  private final ArrayDeque<PooledDatabaseConnection> idle = new ArrayDeque<>();
  private final ConnectionRequestQueue queue = new ConnectionRequestQueue();
  private final RankRateLimiter rateLimiter = new RankRateLimiter();
  private final BrokeredAdmission admission;
  private final Map<ConnectionRequest, PermittedRequest> permitted = new HashMap<>();
  private boolean pacingTimer;
  private DatabaseEntry entry;
  private int share = 1;
  private int opening;
  private long backoffMillis;
  private long closedUntilNanos;
  private boolean unreachable;
  private boolean retired;
  private double useNanos = INITIAL_USE_NANOS;
  private long lastAnswerNanos;
  private boolean answered;
  private long laggingUntilNanos;
  private long lagBackoffMillis;

  /** Creates a pool without connections. */
  public ConnectionPool(
      DatabaseEntry entry,
      PhysicalConnection.Opener opener,
      SlotPermits permits,
      Clocks clocks,
      Timers timers) {
    this.entry = entry;
    this.opener = opener;
    this.admission = new BrokeredAdmission(permits, clocks);
    this.clocks = clocks;
    this.timers = timers;
  }

  /** Returns the database. */
  public DatabaseEntry entry() {
    return entry;
  }

  /** Takes over what the database says of itself; a new address closes the old connections. */
  public void update(DatabaseEntry newEntry) {
    boolean moved = !newEntry.host().equals(entry.host()) || newEntry.port() != entry.port();
    entry = newEntry;
    if (moved) {
      closeIdle();
      unreachable = false;
      backoffMillis = 0;
    }
  }

  /** Sets how many connections this host may hold. */
  public void share(int limit) {
    share = Math.max(1, limit);
  }

  /** Returns whether a request sent here now has a chance. */
  public boolean usable() {
    return !retired && !(unreachable && backingOff());
  }

  private boolean backingOff() {
    return backoffMillis > 0 && clocks.steadyNanos() - closedUntilNanos < 0;
  }

  /** Returns the expected time until a newcomer of a rank has its answer, in nanoseconds. */
  public double expectedNanos(int priority) {
    int busy = connections.size() - idle.size() + opening;
    double ahead = queue.ahead(priority) + Math.max(0, busy + 1 - share);
    double held =
        admission.permitNeeded(priority)
            ? admission.waitNanos(priority)
            : rateLimiter.waitNanos(priority, queue.waiting(priority), clocks.steadyNanos());
    return useNanos + Math.max(useNanos * ahead / share, held);
  }

  /** Returns how long ago the database last answered, in milliseconds; -1 if never. */
  public long answerAgeMillis() {
    return answered ? (clocks.steadyNanos() - lastAnswerNanos) / NANOS_PER_MILLI : -1;
  }

  /** Returns the number of waiting requests. */
  public int waiting() {
    return queue.length() + admission.waiting();
  }

  /** Returns the number of open connections. */
  public int connections() {
    return connections.size();
  }

  /** Asks for a connection. Calls the request back now or later, exactly once unless withdrawn. */
  public void acquire(ConnectionRequest request) {
    if (!usable()) {
      request.refused(AnswerCode.BUSY, reason("unreachable"));
      return;
    }
    if (admission.permitNeeded(request.priority())) {
      admission.ask(entry, request, this::startPermitted);
    } else if (!startNow(request)) {
      enqueue(request);
    }
  }

  /** Takes a request that has its permit, or needs none because no broker answered. */
  private void startPermitted(ConnectionRequest request) {
    if (!usable()) {
      request.refused(AnswerCode.BUSY, reason("unreachable"));
    } else if (!startNow(request)) {
      if (request instanceof PermittedRequest withPermit) {
        permitted.put(withPermit.request(), withPermit);
      }
      enqueue(request);
    }
  }

  private boolean startNow(ConnectionRequest request) {
    dropLost();
    if (idle.isEmpty() || !mayStart(request.priority(), clocks.steadyNanos())) {
      return false;
    }
    grant(request);
    return true;
  }

  /** Requests that passed the broker are in order; all others are paced by this host alone. */
  private boolean mayStart(int priority, long nowNanos) {
    boolean paced = rateLimiter.tryStart(priority, nowNanos);
    return paced || admission.permitNeeded(priority);
  }

  private void enqueue(ConnectionRequest request) {
    double wait = expectedNanos(request.priority()) - useNanos;
    if (!(request instanceof PermittedRequest) && wait > request.maxWaitNanos()) {
      request.refused(
          AnswerCode.BUSY,
          reason("overloaded") + "; retry in " + Math.round(wait / NANOS_PER_MILLI) + " ms");
      return;
    }
    queue.add(request);
    openIfNeeded();
    watchPacing();
  }

  private void grant(ConnectionRequest request) {
    forgetPermitted(request);
    @Nullable PooledDatabaseConnection connection = takeIdle(request.sessionState());
    if (connection != null) {
      request.granted(connection);
    }
  }

  private void forgetPermitted(ConnectionRequest request) {
    if (request instanceof PermittedRequest withPermit) {
      permitted.remove(withPermit.request());
    }
  }

  /** Serves the queue again when a slowed rank may have its turn. */
  private void watchPacing() {
    if (!pacingTimer && !idle.isEmpty() && queue.length() > 0) {
      pacingTimer = true;
      timers.after(
          PACING_POLL_MS,
          () -> {
            pacingTimer = false;
            serveQueue();
          });
    }
  }

  private String reason(String state) {
    return "database " + entry.id() + " is " + state;
  }

  /** Withdraws a waiting request; returns whether it was still waiting. */
  public boolean withdraw(ConnectionRequest request) {
    @Nullable PermittedRequest withPermit = permitted.remove(request);
    if (withPermit != null) {
      withPermit.end();
      return queue.remove(withPermit);
    }
    return admission.withdraw(request) || queue.remove(request);
  }

  /** Returns a connection after a use that began at {@code sinceNanos}. */
  public void release(PooledDatabaseConnection connection, long sinceNanos) {
    if (connection.lost() || retired || !connections.contains(connection)) {
      discard(connection);
      return;
    }
    connection.endPermit();
    long now = clocks.steadyNanos();
    useNanos += SMOOTHING * (now - sinceNanos - useNanos);
    connection.used(now);
    if (connections.size() > share) {
      discard(connection);
      return;
    }
    idle.addFirst(connection);
    serveQueue();
  }

  /** Closes a connection whose state isn't certain. */
  public void discard(PooledDatabaseConnection connection) {
    connections.remove(connection);
    idle.remove(connection);
    connection.endPermit();
    if (!connection.lost()) {
      connection.close();
    }
    openIfNeeded();
  }

  /** Notes a complete answer of the database. */
  public void recordAnswer() {
    answered = true;
    lastAnswerNanos = clocks.steadyNanos();
    unreachable = false;
    backoffMillis = 0;
  }

  /** Learns from a complete answer how long the database took, its queue included. */
  public void recordAnswer(int priority, AnswerCode code, long tookNanos) {
    recordAnswer();
    if (code == AnswerCode.BUSY) {
      rateLimiter.refused(clocks.steadyNanos());
    } else if (!code.hadNoEffect()) {
      rateLimiter.used(priority, tookNanos, clocks.steadyNanos());
    }
    admission.delayed(rateLimiter.smoothedNanos());
  }

  /** Returns the smoothed delay of answers by the database's queue, in milliseconds. */
  public long delayMillis() {
    return (long) (rateLimiter.smoothedNanos() / NANOS_PER_MILLI);
  }

  /** Notes that the database didn't answer in time: idle connections may be dead as well. */
  void markUnresponsive() {
    closeIdle();
  }

  /**
   * Closes a connection whose answer did not come within a limit. If no other answer came in the
   * later half of that time either, the database counts as silent.
   */
  void timedOut(PooledDatabaseConnection connection, long limitMillis) {
    if (answerAgeMillis() > limitMillis / 2) {
      markUnresponsive();
    }
    connection.close();
  }

  /** Notes that the log lacks a position that another request needed. */
  public void markLagging() {
    lagBackoffMillis = Math.min(400, Math.max(25, 2 * lagBackoffMillis));
    laggingUntilNanos = clocks.steadyNanos() + lagBackoffMillis * NANOS_PER_MILLI;
  }

  /** Notes that a conditional read succeeded. */
  public void markUpToDate() {
    lagBackoffMillis = 0;
  }

  /** Returns whether the database lately lacked a needed position. */
  public boolean lagging() {
    return lagBackoffMillis > 0 && clocks.steadyNanos() - laggingUntilNanos < 0;
  }

  /** Takes the database out of use: refuses what waits and closes idle connections. */
  public void retire() {
    retired = true;
    closeIdle();
    refuseWaiting("leaving");
  }

  /** Closes connections that were not used for a time. */
  public void closeUnused(long longerThanMillis) {
    long now = clocks.steadyNanos();
    Iterator<PooledDatabaseConnection> each = idle.iterator();
    while (each.hasNext()) {
      PooledDatabaseConnection connection = each.next();
      if (now - connection.lastUsedNanos() > longerThanMillis * NANOS_PER_MILLI) {
        each.remove();
        connections.remove(connection);
        connection.close();
      }
    }
  }

  /** Refuses all waiting requests. */
  public void refuseWaiting(String state) {
    List<ConnectionRequest> waiting = new ArrayList<>(queue.drain());
    waiting.addAll(admission.drain());
    for (ConnectionRequest request : waiting) {
      forgetPermitted(request);
      request.refused(AnswerCode.BUSY, reason(state));
    }
  }

  private void closeIdle() {
    List<PooledDatabaseConnection> all = new ArrayList<>(idle);
    idle.clear();
    for (PooledDatabaseConnection connection : all) {
      connections.remove(connection);
      connection.close();
    }
  }

  private void dropLost() {
    idle.removeIf(
        connection -> {
          if (connection.lost()) {
            connections.remove(connection);
          }
          return connection.lost();
        });
  }

  private @Nullable PooledDatabaseConnection takeIdle(SessionState sessionState) {
    for (PooledDatabaseConnection connection : idle) {
      if (connection.hasValues(sessionState)) {
        idle.remove(connection);
        return connection;
      }
    }
    return idle.pollFirst();
  }

  private void serveQueue() {
    dropLost();
    while (!idle.isEmpty()) {
      long now = clocks.steadyNanos();
      @Nullable ConnectionRequest request = queue.poll(priority -> mayStart(priority, now));
      if (request == null) {
        watchPacing();
        return;
      }
      grant(request);
    }
    openIfNeeded();
  }

  private void openIfNeeded() {
    while (!retired
        && idle.isEmpty()
        && opening < queue.length()
        && connections.size() + opening < share
        && !backingOff()) {
      opening++;
      opener.open(entry, new Opening());
    }
  }

  /** Follows one attempt to connect. */
  private final class Opening implements PhysicalConnection.OpenListener {
    @Override
    public void opened(PhysicalConnection connection, Answer greeting) {
      opening--;
      recordAnswer();
      PooledDatabaseConnection pooled =
          new PooledDatabaseConnection(ConnectionPool.this, connection);
      pooled.used(clocks.steadyNanos());
      if (retired) {
        pooled.close();
        return;
      }
      connections.add(pooled);
      idle.addLast(pooled);
      serveQueue();
    }

    @Override
    public void refused(Answer reason) {
      opening--;
      unreachable = connections.isEmpty() || reason.code() == AnswerCode.LOST;
      // The limit is shared by all hosts: places become free at any moment, and asking costs
      // little.
      backoffMillis =
          reason.code() == AnswerCode.CONNECTION_LIMIT
              ? LIMIT_BACKOFF_MS
              : Math.min(LONGEST_BACKOFF_MS, Math.max(FIRST_BACKOFF_MS, 2 * backoffMillis));
      closedUntilNanos = clocks.steadyNanos() + backoffMillis * NANOS_PER_MILLI;
      if (connections.isEmpty()) {
        refuseWaiting(
            reason.code() == AnswerCode.CONNECTION_LIMIT ? "out of connections" : "unreachable");
      } else if (queue.length() > 0) {
        timers.after(backoffMillis, ConnectionPool.this::openIfNeeded);
      }
    }
  }
}
