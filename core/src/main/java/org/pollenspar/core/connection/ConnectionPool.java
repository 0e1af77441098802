package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.AnswerCode;

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
 * <p>Connections are opened on demand, up to the share of this host, by {@link ConnectionOpening}.
 * If an attempt fails while no connection is open, all waiting requests are refused; if only its
 * organisation has none, the requests of that organisation are.
 *
 * <p>A connection belongs to one organisation and is granted only to its requests; {@link
 * ConnectionDistribution} decides which organisations get connections. Once the share is used up,
 * an idle connection is closed to open one for another organisation. The expected wait of a request
 * doesn't count what other organisations have queued in its rank. If all requests are of one
 * organisation, no connection is closed to make room.
 *
 * <p>All methods run on one thread.
 */
public final class ConnectionPool {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private static final long RATE_LIMIT_POLL_MS = 20;

  private static final String HELD =
      "held by transactions whose callers pause; retry in 300 ms at another host";

  private static final String UNREACHABLE = "unreachable";

  private final Clocks clocks;
  private final Timers timers;
  private final ConnectionPoolCounts counts;
  private final PooledConnections connections = new PooledConnections();
  private final ConnectionRequestQueue queue = new ConnectionRequestQueue();
  private final ConnectionDistribution distribution =
      new ConnectionDistribution(queue, connections);
  private final ConnectionOpening opening;
  private final RankRateLimiter rateLimiter = new RankRateLimiter();
  private final BrokeredAdmission admission;
  private final ExpectedWait expected;
  private final Map<ConnectionRequest, PermittedRequest> queuedWithPermit = new HashMap<>();
  private boolean rateLimitPollScheduled;
  private DatabaseEntry entry;
  private int share = 1;
  private boolean retired;
  private long lastAnswerNanos;
  private boolean answered;
  private long laggingUntilNanos;
  private long lagBackoffMillis;

  /** Creates a pool without connections that has counts of its own. */
  public ConnectionPool(
      DatabaseEntry entry,
      PhysicalConnection.Opener opener,
      SlotPermits permits,
      Clocks clocks,
      Timers timers) {
    this(entry, opener, permits, new ConnectionPoolCounts(), clocks, timers);
  }

  /** Creates a pool without connections. */
  ConnectionPool(
      DatabaseEntry entry,
      PhysicalConnection.Opener opener,
      SlotPermits permits,
      ConnectionPoolCounts counts,
      Clocks clocks,
      Timers timers) {
    this.entry = entry;
    this.admission = new BrokeredAdmission(permits, counts, clocks);
    this.expected = new ExpectedWait(connections, queue, distribution, admission, clocks);
    this.opening =
        new ConnectionOpening(
            this, opener, connections, queue, distribution, counts, clocks, timers);
    this.counts = counts;
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
      opening.endBackoff();
    }
  }

  /** Sets how many connections this host may hold; at least one. */
  public void share(int limit) {
    share = Math.max(1, limit);
  }

  int share() {
    return share;
  }

  boolean retired() {
    return retired;
  }

  /**
   * Returns whether the database is in service, not known to be unreachable, and this host may have
   * a connection for a statement.
   */
  public boolean usable() {
    return reachable() && !heldByPausedTransactions();
  }

  /** Returns whether the database is in service and not known to be unreachable. */
  boolean reachable() {
    return !retired && !opening.unreachable();
  }

  /**
   * Returns whether paused transactions hold all connections that this host may have. Nobody knows
   * when they end, which may take the idle time of the configuration, so statements aren't queued
   * behind them: reads run at other databases, and callers come back to other hosts.
   */
  boolean heldByPausedTransactions() {
    return connections.paused() >= share;
  }

  /** Records that the caller of the transaction on a connection pauses. */
  void transactionPaused(PooledDatabaseConnection connection) {
    connections.paused(connection, true);
    if (heldByPausedTransactions()) {
      refuse(queue.drainCallers(), ConnectionPoolCounts.Refusal.HELD, HELD);
    }
  }

  /** Records that a transaction which was paused goes on or ends. */
  void transactionResumed(PooledDatabaseConnection connection) {
    connections.paused(connection, false);
  }

  /**
   * Returns the expected time until a new request of a rank and organisation is answered, in
   * nanoseconds.
   *
   * <p>An organisation without connections also waits for the more urgent requests of the others.
   */
  public double expectedNanos(int priority, String organisation) {
    return expected.nanos(priority, organisation, share, rateLimiter::waitNanos);
  }

  /** Returns the same as {@link #expectedNanos} and changes no decision that follows. */
  double estimatedNanos(int priority, String organisation) {
    return expected.nanos(priority, organisation, share, rateLimiter::estimatedWaitNanos);
  }

  /** Returns the mean duration of one use of a connection, in nanoseconds. */
  double meanUseNanos() {
    return expected.meanUseNanos();
  }

  /**
   * Returns with which reason {@link #acquire} would refuse a request now, and changes nothing;
   * null if the request would start, wait in the queue or ask for a permit.
   */
  @Nullable String refusal(int priority, String organisation, long maxWaitNanos) {
    if (!reachable()) {
      return refusalText(UNREACHABLE);
    }
    if (heldByPausedTransactions()) {
      return refusalText(HELD);
    }
    boolean startsNow =
        connections.idle(organisation) > 0
            && rateLimiter.wouldStart(priority, clocks.steadyNanos());
    if (startsNow || permitNeeded(priority)) {
      return null;
    }
    double wait = estimatedNanos(priority, organisation) - meanUseNanos();
    return wait > maxWaitNanos ? refusalText(overloaded(wait)) : null;
  }

  /** Returns whether a request of a rank needs a permit of the database's broker now. */
  boolean permitNeeded(int priority) {
    return admission.permitNeeded(priority);
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
    if (!reachable()) {
      refuse(request, ConnectionPoolCounts.Refusal.UNREACHABLE, UNREACHABLE);
      return;
    }
    if (request.priority() >= 0 && heldByPausedTransactions()) {
      refuse(request, ConnectionPoolCounts.Refusal.HELD, HELD);
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
    if (!reachable()) {
      refuse(request, ConnectionPoolCounts.Refusal.UNREACHABLE, UNREACHABLE);
    } else if (!startNow(request)) {
      if (request instanceof PermittedRequest withPermit) {
        queuedWithPermit.put(withPermit.request(), withPermit);
      }
      enqueue(request);
    }
  }

  private boolean startNow(ConnectionRequest request) {
    removeLost();
    return connections.idle(request.organisation()) > 0
        && mayStart(request.priority(), clocks.steadyNanos())
        && grant(request);
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
    double wait = expectedNanos(request.priority(), request.organisation()) - meanUseNanos();
    if (!(request instanceof PermittedRequest) && wait > request.maxWaitNanos()) {
      refuse(request, ConnectionPoolCounts.Refusal.OVERLOADED, overloaded(wait));
      return;
    }
    queue.add(request);
    opening.openIfNeeded();
    scheduleRateLimitPoll();
  }

  private void refuse(ConnectionRequest request, ConnectionPoolCounts.Refusal cause, String state) {
    forgetQueuedPermit(request);
    counts.countRefusal(cause);
    request.refused(AnswerCode.BUSY, refusalText(state));
  }

  private String refusalText(String state) {
    return "database " + entry.id() + " is " + state;
  }

  private static String overloaded(double waitNanos) {
    return "overloaded; retry in " + Math.round(waitNanos / NANOS_PER_MILLI) + " ms";
  }

  private boolean grant(ConnectionRequest request) {
    forgetQueuedPermit(request);
    @Nullable PooledDatabaseConnection connection =
        connections.takeIdle(request.organisation(), request.sessionState());
    if (connection != null) {
      request.granted(connection);
    }
    return connection != null;
  }

  private void forgetQueuedPermit(ConnectionRequest request) {
    if (request instanceof PermittedRequest withPermit) {
      queuedWithPermit.remove(withPermit.request());
    }
  }

  /** Serves the queue again later, since a rate-limited rank may start then. */
  private void scheduleRateLimitPoll() {
    if (!rateLimitPollScheduled && distribution.idleAndWaiting()) {
      rateLimitPollScheduled = true;
      timers.after(
          RATE_LIMIT_POLL_MS,
          () -> {
            rateLimitPollScheduled = false;
            serveQueue();
          });
    }
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
    expected.recordUse(now - sinceNanos);
    connection.markUsed(now);
    if (connections.size() > share) {
      discard(connection);
      return;
    }
    connections.putIdle(connection);
    serveQueue();
  }

  /** Closes a connection that must not be reused because its state is unknown. */
  public void discard(PooledDatabaseConnection connection) {
    connections.remove(connection);
    connection.releasePermit();
    if (!connection.lost()) {
      connection.close();
    }
    opening.openIfNeeded();
  }

  /** Records a complete answer of the database, which shows that it is reachable. */
  public void recordAnswer() {
    answered = true;
    lastAnswerNanos = clocks.steadyNanos();
    opening.endBackoff();
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
    connections
        .removeIdle(each -> now - each.lastUsedNanos() > longerThanMillis * NANOS_PER_MILLI)
        .forEach(PooledDatabaseConnection::close);
  }

  /**
   * Refuses all waiting requests.
   *
   * @param state state of the database that the refusals state as the reason
   */
  public void refuseWaiting(String state) {
    refuseWaiting(ConnectionPoolCounts.Refusal.OUT_OF_SERVICE, state);
  }

  void refuseWaiting(ConnectionPoolCounts.Refusal cause, String state) {
    List<ConnectionRequest> waiting = new ArrayList<>(queue.drain());
    waiting.addAll(admission.drain());
    refuse(waiting, cause, state);
  }

  /** Refuses requests that were removed from the queue. */
  void refuse(List<ConnectionRequest> requests, ConnectionPoolCounts.Refusal cause, String state) {
    requests.forEach(request -> refuse(request, cause, state));
  }

  private void closeIdle() {
    connections.removeIdle(each -> true).forEach(PooledDatabaseConnection::close);
  }

  private void removeLost() {
    connections.removeIdle(PooledDatabaseConnection::lost);
  }

  /** Grants idle connections to waiting requests and opens connections that are lacking. */
  void serveQueue() {
    removeLost();
    // A place that goes to another organisation must not be granted to the owner before.
    opening.openIfNeeded();
    @Nullable ConnectionRequest request = pollStartable();
    while (request != null) {
      grant(request);
      request = pollStartable();
    }
    scheduleRateLimitPoll();
    opening.openIfNeeded();
  }

  /**
   * Removes and returns the first request of the most urgent rank that may start on an idle
   * connection; null if there is none.
   */
  private @Nullable ConnectionRequest pollStartable() {
    if (connections.idle() == 0) {
      return null;
    }
    long now = clocks.steadyNanos();
    for (int rank : queue.ranks()) {
      @Nullable String first = distribution.firstToServe(rank);
      if (first != null && mayStart(rank, now)) {
        return queue.poll(rank, first);
      }
    }
    return null;
  }
}
