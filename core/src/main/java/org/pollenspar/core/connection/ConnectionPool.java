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
import org.pollenspar.core.version.RouteTable;

/**
 * Pool of this host's connections to one database, with the queue of requests that wait for one.
 *
 * <p>The number of connections also limits how many statements this host runs at the database at
 * once. Requests therefore wait here, ordered by rank, and not in the queue of the database, which
 * serves in order of arrival whatever the rank.
 *
 * <p>A request passes admission control first. While the database is congested, {@link
 * BrokeredAdmission} obtains a permit from the broker that orders the work of all hosts. While no
 * permits are needed or no broker answers, {@link RankRateLimiter} limits the rate of the less
 * urgent ranks on this host alone. Requests that can't start at once are queued. A request without
 * a permit is refused instead if its expected wait exceeds its maximum wait.
 *
 * <p>Connections are opened on demand, up to the share of this host. The backoff after a failed
 * attempt to connect doubles with each failure; it is short and constant if the database is out of
 * connections. If an attempt fails while no connection is open, all waiting requests are refused.
 *
 * <p>All methods run on one thread.
 */
public final class ConnectionPool {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MIN_BACKOFF_MS = 100;
  private static final long MAX_BACKOFF_MS = 1_600;
  private static final long CONNECTION_LIMIT_BACKOFF_MS = 150;

  /** Weight of the latest use in the mean duration of a use. */
  private static final double SMOOTHING = 0.1;

  private static final long RATE_LIMIT_POLL_MS = 20;

  /** Mean duration of one use of a connection, assumed before the first use has ended. */
  private static final double INITIAL_MEAN_USE_NANOS = 20e6;

  private final PhysicalConnection.Opener opener;
  private final Clocks clocks;
  private final Timers timers;
  private final Set<PooledDatabaseConnection> connections = new HashSet<>();
  private final ArrayDeque<PooledDatabaseConnection> idle = new ArrayDeque<>();
  private final ConnectionRequestQueue queue = new ConnectionRequestQueue();
  private final RankRateLimiter rateLimiter = new RankRateLimiter();
  private final BrokeredAdmission admission;
  private final Map<ConnectionRequest, PermittedRequest> queuedWithPermit = new HashMap<>();
  private boolean rateLimitPollScheduled;
  private DatabaseEntry entry;
  private int share = 1;
  private int opening;
  private long backoffMillis;
  private long backoffUntilNanos;
  private boolean unreachable;
  private boolean retired;
  private double meanUseNanos = INITIAL_MEAN_USE_NANOS;
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

  public DatabaseEntry entry() {
    return entry;
  }

  /** Applies a new registration of the database; a new address closes the idle connections. */
  public void update(DatabaseEntry newEntry) {
    boolean moved = !newEntry.host().equals(entry.host()) || newEntry.port() != entry.port();
    entry = newEntry;
    if (moved) {
      closeIdle();
      unreachable = false;
      backoffMillis = 0;
    }
  }

  /** Sets how many connections this host may hold; at least one. */
  public void share(int limit) {
    share = Math.max(1, limit);
  }

  /** Returns whether the database is in service and not known to be unreachable. */
  public boolean usable() {
    return !retired && !(unreachable && backingOff());
  }

  private boolean backingOff() {
    return backoffMillis > 0 && clocks.steadyNanos() - backoffUntilNanos < 0;
  }

  /** Returns the expected time until a new request of a rank is answered, in nanoseconds. */
  public double expectedNanos(int priority) {
    int busy = connections.size() - idle.size() + opening;
    double requestsAhead = queue.requestsAhead(priority) + Math.max(0, busy + 1 - share);
    double admissionWaitNanos =
        admission.permitNeeded(priority)
            ? admission.waitNanos(priority)
            : rateLimiter.waitNanos(priority, queue.waiting(priority), clocks.steadyNanos());
    return meanUseNanos + Math.max(meanUseNanos * requestsAhead / share, admissionWaitNanos);
  }

  /** Returns how long a new request of a rank is expected to wait here, in nanoseconds. */
  double queueNanos(int priority) {
    return expectedNanos(priority) - meanUseNanos;
  }

  /** Returns how long ago the database last answered, in milliseconds; -1 if never. */
  public long answerAgeMillis() {
    return answered ? (clocks.steadyNanos() - lastAnswerNanos) / NANOS_PER_MILLI : -1;
  }

  /** Returns the number of requests that wait for a connection or a permit. */
  public int waiting() {
    return queue.length() + admission.waiting();
  }

  public int connections() {
    return connections.size();
  }

  /**
   * Requests a connection. The request is granted or refused exactly once, now or later, unless it
   * is withdrawn first.
   */
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

  /**
   * Starts or queues a request that has a permit, or goes on without because no broker answered.
   */
  private void startPermitted(ConnectionRequest request) {
    if (!usable()) {
      request.refused(AnswerCode.BUSY, reason("unreachable"));
    } else if (!startNow(request)) {
      if (request instanceof PermittedRequest withPermit) {
        queuedWithPermit.put(withPermit.request(), withPermit);
      }
      enqueue(request);
    }
  }

  private boolean startNow(ConnectionRequest request) {
    removeLost();
    if (idle.isEmpty() || !mayStart(request.priority(), clocks.steadyNanos())) {
      return false;
    }
    grant(request);
    return true;
  }

  /**
   * Returns whether a request of a rank may start now, and counts it for the rate limit. While
   * permits are needed, the broker has already ordered the requests of all hosts, so the rate limit
   * of this host doesn't apply.
   */
  private boolean mayStart(int priority, long nowNanos) {
    boolean withinRate = rateLimiter.tryStart(priority, nowNanos);
    return withinRate || admission.permitNeeded(priority);
  }

  private void enqueue(ConnectionRequest request) {
    double wait = expectedNanos(request.priority()) - meanUseNanos;
    if (!(request instanceof PermittedRequest) && wait > request.maxWaitNanos()) {
      request.refused(
          AnswerCode.BUSY,
          reason("overloaded") + "; retry in " + Math.round(wait / NANOS_PER_MILLI) + " ms");
      return;
    }
    queue.add(request);
    openIfNeeded();
    scheduleRateLimitPoll();
  }

  private void grant(ConnectionRequest request) {
    forgetQueuedPermit(request);
    @Nullable PooledDatabaseConnection connection = takeIdle(request.sessionState());
    if (connection != null) {
      request.granted(connection);
    }
  }

  private void forgetQueuedPermit(ConnectionRequest request) {
    if (request instanceof PermittedRequest withPermit) {
      queuedWithPermit.remove(withPermit.request());
    }
  }

  /** Serves the queue again later, since a rate-limited rank may start then. */
  private void scheduleRateLimitPoll() {
    if (!rateLimitPollScheduled && !idle.isEmpty() && queue.length() > 0) {
      rateLimitPollScheduled = true;
      timers.after(
          RATE_LIMIT_POLL_MS,
          () -> {
            rateLimitPollScheduled = false;
            serveQueue();
          });
    }
  }

  private String reason(String state) {
    return "database " + entry.id() + " is " + state;
  }

  /** Withdraws a waiting request; returns whether it was still waiting. */
  public boolean withdraw(ConnectionRequest request) {
    @Nullable PermittedRequest withPermit = queuedWithPermit.remove(request);
    if (withPermit != null) {
      withPermit.releaseUnused();
      return queue.remove(withPermit);
    }
    return admission.withdraw(request) || queue.remove(request);
  }

  /** Puts a connection back into the pool after a use that began at {@code sinceNanos}. */
  public void release(PooledDatabaseConnection connection, long sinceNanos) {
    if (connection.lost() || retired || !connections.contains(connection)) {
      discard(connection);
      return;
    }
    connection.releasePermit();
    long now = clocks.steadyNanos();
    meanUseNanos += SMOOTHING * (now - sinceNanos - meanUseNanos);
    connection.markUsed(now);
    if (connections.size() > share) {
      discard(connection);
      return;
    }
    idle.addFirst(connection);
    serveQueue();
  }

  /** Closes a connection that must not be reused because its state is unknown. */
  public void discard(PooledDatabaseConnection connection) {
    connections.remove(connection);
    idle.remove(connection);
    connection.releasePermit();
    if (!connection.lost()) {
      connection.close();
    }
    openIfNeeded();
  }

  /** Records a complete answer of the database, which shows that it is reachable. */
  public void recordAnswer() {
    answered = true;
    lastAnswerNanos = clocks.steadyNanos();
    unreachable = false;
    backoffMillis = 0;
  }

  /**
   * Records a complete answer to a statement, which is also a sample of the delay by the database's
   * queue.
   *
   * @param tookNanos time since the statement was sent, including the wait in the database's queue
   */
  public void recordAnswer(int priority, AnswerCode code, long tookNanos) {
    recordAnswer();
    if (code == AnswerCode.BUSY) {
      rateLimiter.recordQueueFull(clocks.steadyNanos());
    } else if (!code.hadNoEffect()) {
      rateLimiter.recordLatency(priority, tookNanos, clocks.steadyNanos());
    }
    admission.recordDelay(rateLimiter.smoothedDelayNanos());
  }

  /** Returns the smoothed delay of answers by the database's queue, in milliseconds. */
  public long delayMillis() {
    return (long) (rateLimiter.smoothedDelayNanos() / NANOS_PER_MILLI);
  }

  /**
   * Records that the database didn't answer in time. Closes the idle connections, since they may be
   * dead as well.
   */
  void markUnresponsive() {
    closeIdle();
  }

  /**
   * Closes a connection whose answer did not arrive within a limit. If the database sent no other
   * answer during the second half of that time either, it counts as unresponsive.
   */
  void timedOut(PooledDatabaseConnection connection, long limitMillis) {
    if (answerAgeMillis() > limitMillis / 2) {
      markUnresponsive();
    }
    connection.close();
  }

  /** Records that the database's log lacked a position that a read required. */
  public void markLagging() {
    lagBackoffMillis = Math.min(400, Math.max(25, 2 * lagBackoffMillis));
    laggingUntilNanos = clocks.steadyNanos() + lagBackoffMillis * NANOS_PER_MILLI;
  }

  /** Records that a read succeeded, so the log included the required position. */
  public void markUpToDate() {
    lagBackoffMillis = 0;
  }

  /** Returns whether reads avoid the database because its log recently lacked a position. */
  public boolean lagging() {
    return lagBackoffMillis > 0 && clocks.steadyNanos() - laggingUntilNanos < 0;
  }

  /** Takes the database out of service: refuses waiting requests, closes idle connections. */
  public void retire() {
    retired = true;
    closeIdle();
    refuseWaiting("leaving");
  }

  /** Closes idle connections that were not used for longer than a time. */
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

  /**
   * Refuses all waiting requests.
   *
   * @param state state of the database that the refusals state as the reason
   */
  public void refuseWaiting(String state) {
    List<ConnectionRequest> waiting = new ArrayList<>(queue.drain());
    waiting.addAll(admission.drain());
    for (ConnectionRequest request : waiting) {
      forgetQueuedPermit(request);
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

  private void removeLost() {
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
    removeLost();
    while (!idle.isEmpty()) {
      long now = clocks.steadyNanos();
      @Nullable ConnectionRequest request = queue.poll(priority -> mayStart(priority, now));
      if (request == null) {
        scheduleRateLimitPoll();
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
      opener.open(entry, RouteTable.NO_ORGANISATION, new Opening());
    }
  }

  /** Receives the outcome of one attempt to connect. */
  private final class Opening implements PhysicalConnection.OpenListener {
    @Override
    public void opened(PhysicalConnection connection, Answer greeting) {
      opening--;
      recordAnswer();
      PooledDatabaseConnection pooled =
          new PooledDatabaseConnection(ConnectionPool.this, connection);
      pooled.markUsed(clocks.steadyNanos());
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
      // All hosts share the connection limit, so a connection may become available at any moment.
      // An attempt is cheap, so the backoff stays short and doesn't grow.
      backoffMillis =
          reason.code() == AnswerCode.CONNECTION_LIMIT
              ? CONNECTION_LIMIT_BACKOFF_MS
              : Math.min(MAX_BACKOFF_MS, Math.max(MIN_BACKOFF_MS, 2 * backoffMillis));
      backoffUntilNanos = clocks.steadyNanos() + backoffMillis * NANOS_PER_MILLI;
      if (connections.isEmpty()) {
        refuseWaiting(
            reason.code() == AnswerCode.CONNECTION_LIMIT ? "out of connections" : "unreachable");
      } else if (queue.length() > 0) {
        timers.after(backoffMillis, ConnectionPool.this::openIfNeeded);
      }
    }
  }
}
