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
public final class DatabaseLane {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long FIRST_BACKOFF_MS = 100;
  private static final long LONGEST_BACKOFF_MS = 1_600;
  private static final long LIMIT_BACKOFF_MS = 150;
  private static final double SMOOTHING = 0.1;
  private static final long PACING_POLL_MS = 20;

  /** Assumed time of one use of a connection before the first was measured. */
  private static final double INITIAL_USE_NANOS = 20e6;

  private final DatabaseLink.Opener opener;
  private final Clocks clocks;
  private final Timers timers;
  private final Set<PooledLink> links = new HashSet<>();
  private final ArrayDeque<PooledLink> idle = new ArrayDeque<>();
  private final LinkQueue queue = new LinkQueue();
  private final RankPacer pacer = new RankPacer();
  private final BrokeredAdmission admission;
  private final Map<LinkRequest, PermittedRequest> permitted = new HashMap<>();
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

  /** Creates a lane without connections. */
  public DatabaseLane(
      DatabaseEntry entry,
      DatabaseLink.Opener opener,
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
  public void share(int connections) {
    share = Math.max(1, connections);
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
    int busy = links.size() - idle.size() + opening;
    double ahead = queue.ahead(priority) + Math.max(0, busy + 1 - share);
    double held =
        admission.needed(priority)
            ? admission.waitNanos(priority)
            : pacer.waitNanos(priority, queue.waiting(priority), clocks.steadyNanos());
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
    return links.size();
  }

  /** Asks for a connection. Calls the request back now or later, exactly once unless withdrawn. */
  public void lend(LinkRequest request) {
    if (!usable()) {
      request.refused(AnswerCode.BUSY, reason("unreachable"));
      return;
    }
    if (admission.needed(request.priority())) {
      admission.ask(entry, request, this::startPermitted);
    } else if (!startNow(request)) {
      enqueue(request);
    }
  }

  /** Takes a request that has its permit, or needs none because no broker answered. */
  private void startPermitted(LinkRequest request) {
    if (!usable()) {
      request.refused(AnswerCode.BUSY, reason("unreachable"));
    } else if (!startNow(request)) {
      if (request instanceof PermittedRequest withPermit) {
        permitted.put(withPermit.request(), withPermit);
      }
      enqueue(request);
    }
  }

  private boolean startNow(LinkRequest request) {
    dropLost();
    if (idle.isEmpty() || !mayStart(request.priority(), clocks.steadyNanos())) {
      return false;
    }
    grant(request);
    return true;
  }

  /** Requests that passed the broker are in order; all others are paced by this host alone. */
  private boolean mayStart(int priority, long nowNanos) {
    boolean paced = pacer.tryStart(priority, nowNanos);
    return paced || admission.needed(priority);
  }

  private void enqueue(LinkRequest request) {
    double wait = expectedNanos(request.priority()) - useNanos;
    if (!(request instanceof PermittedRequest) && wait > request.patienceNanos()) {
      request.refused(
          AnswerCode.BUSY,
          reason("overloaded") + "; retry in " + Math.round(wait / NANOS_PER_MILLI) + " ms");
      return;
    }
    queue.add(request);
    openIfNeeded();
    watchPacing();
  }

  private void grant(LinkRequest request) {
    forgetPermitted(request);
    @Nullable PooledLink link = takeIdle(request.image());
    if (link != null) {
      request.granted(link);
    }
  }

  private void forgetPermitted(LinkRequest request) {
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
  public boolean withdraw(LinkRequest request) {
    @Nullable PermittedRequest withPermit = permitted.remove(request);
    if (withPermit != null) {
      withPermit.end();
      return queue.remove(withPermit);
    }
    return admission.withdraw(request) || queue.remove(request);
  }

  /** Returns a connection after a use that began at {@code sinceNanos}. */
  public void giveBack(PooledLink link, long sinceNanos) {
    if (link.lost() || retired || !links.contains(link)) {
      discard(link);
      return;
    }
    link.endPermit();
    long now = clocks.steadyNanos();
    useNanos += SMOOTHING * (now - sinceNanos - useNanos);
    link.used(now);
    if (links.size() > share) {
      discard(link);
      return;
    }
    idle.addFirst(link);
    serveQueue();
  }

  /** Closes a connection whose state isn't certain. */
  public void discard(PooledLink link) {
    links.remove(link);
    idle.remove(link);
    link.endPermit();
    if (!link.lost()) {
      link.close();
    }
    openIfNeeded();
  }

  /** Notes a complete answer of the database. */
  public void noteAnswer() {
    answered = true;
    lastAnswerNanos = clocks.steadyNanos();
    unreachable = false;
    backoffMillis = 0;
  }

  /** Learns from a complete answer how long the database took, its queue included. */
  public void noteAnswer(int priority, AnswerCode code, long tookNanos) {
    noteAnswer();
    if (code == AnswerCode.BUSY) {
      pacer.refused(clocks.steadyNanos());
    } else if (!code.hadNoEffect()) {
      pacer.used(priority, tookNanos, clocks.steadyNanos());
    }
    admission.delayed(pacer.smoothedNanos());
  }

  /** Returns the smoothed delay of answers by the database's queue, in milliseconds. */
  public long delayMillis() {
    return (long) (pacer.smoothedNanos() / NANOS_PER_MILLI);
  }

  /** Notes that the database didn't answer in time: idle connections may be dead as well. */
  void noteSilence() {
    closeIdle();
  }

  /**
   * Closes a connection whose answer did not come within a limit. If no other answer came in the
   * later half of that time either, the database counts as silent.
   */
  void timedOut(PooledLink link, long limitMillis) {
    if (answerAgeMillis() > limitMillis / 2) {
      noteSilence();
    }
    link.close();
  }

  /** Notes that the log lacks a position that another request needed. */
  public void noteLagging() {
    lagBackoffMillis = Math.min(400, Math.max(25, 2 * lagBackoffMillis));
    laggingUntilNanos = clocks.steadyNanos() + lagBackoffMillis * NANOS_PER_MILLI;
  }

  /** Notes that a conditional read succeeded. */
  public void noteFresh() {
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
    Iterator<PooledLink> each = idle.iterator();
    while (each.hasNext()) {
      PooledLink link = each.next();
      if (now - link.lastUsedNanos() > longerThanMillis * NANOS_PER_MILLI) {
        each.remove();
        links.remove(link);
        link.close();
      }
    }
  }

  /** Refuses all waiting requests. */
  public void refuseWaiting(String state) {
    List<LinkRequest> waiting = new ArrayList<>(queue.drain());
    waiting.addAll(admission.drain());
    for (LinkRequest request : waiting) {
      forgetPermitted(request);
      request.refused(AnswerCode.BUSY, reason(state));
    }
  }

  private void closeIdle() {
    List<PooledLink> all = new ArrayList<>(idle);
    idle.clear();
    for (PooledLink link : all) {
      links.remove(link);
      link.close();
    }
  }

  private void dropLost() {
    idle.removeIf(
        link -> {
          if (link.lost()) {
            links.remove(link);
          }
          return link.lost();
        });
  }

  private @Nullable PooledLink takeIdle(SessionImage image) {
    for (PooledLink link : idle) {
      if (link.hasValues(image)) {
        idle.remove(link);
        return link;
      }
    }
    return idle.pollFirst();
  }

  private void serveQueue() {
    dropLost();
    while (!idle.isEmpty()) {
      long now = clocks.steadyNanos();
      @Nullable LinkRequest request = queue.poll(priority -> mayStart(priority, now));
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
        && links.size() + opening < share
        && !backingOff()) {
      opening++;
      opener.open(entry, new Opening());
    }
  }

  /** Follows one attempt to connect. */
  private final class Opening implements DatabaseLink.OpenListener {
    @Override
    public void opened(DatabaseLink link, Answer greeting) {
      opening--;
      noteAnswer();
      PooledLink pooled = new PooledLink(DatabaseLane.this, link);
      pooled.used(clocks.steadyNanos());
      if (retired) {
        pooled.close();
        return;
      }
      links.add(pooled);
      idle.addLast(pooled);
      serveQueue();
    }

    @Override
    public void refused(Answer reason) {
      opening--;
      unreachable = links.isEmpty() || reason.code() == AnswerCode.LOST;
      // The limit is shared by all hosts: places become free at any moment, and asking costs
      // little.
      backoffMillis =
          reason.code() == AnswerCode.CONNECTION_LIMIT
              ? LIMIT_BACKOFF_MS
              : Math.min(LONGEST_BACKOFF_MS, Math.max(FIRST_BACKOFF_MS, 2 * backoffMillis));
      closedUntilNanos = clocks.steadyNanos() + backoffMillis * NANOS_PER_MILLI;
      if (links.isEmpty()) {
        refuseWaiting(
            reason.code() == AnswerCode.CONNECTION_LIMIT ? "out of connections" : "unreachable");
      } else if (queue.length() > 0) {
        timers.after(backoffMillis, DatabaseLane.this::openIfNeeded);
      }
    }
  }
}
