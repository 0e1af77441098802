package org.pollenspar.standin.connection;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** The open connections to a database, limited in number. Thread-safe. */
public final class SessionRegistry {
  private final Map<Integer, DatabaseSession> sessions = new ConcurrentHashMap<>();
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicInteger maximum = new AtomicInteger();
  private final AtomicInteger nextProcessId = new AtomicInteger();
  private final AtomicLong refused = new AtomicLong();
  private final int limit;

  /** Creates a registry that accepts up to {@code limit} connections at once. */
  public SessionRegistry(int limit) {
    this.limit = limit;
  }

  public int open() {
    return open.get();
  }

  /** Returns the largest number of connections that were open at once. */
  public int maximum() {
    return maximum.get();
  }

  /** Returns how many connections were refused because of the limit. */
  public long refused() {
    return refused.get();
  }

  /** Ends all connections with SQLSTATE 57P01, as a server that restarts does. */
  public void terminateAll() {
    sessions.values().forEach(DatabaseSession::terminate);
  }

  int nextProcessId() {
    return nextProcessId.incrementAndGet();
  }

  /** Adds a connection; returns false if the limit is reached. */
  boolean register(int processId, DatabaseSession session) {
    int now = open.incrementAndGet();
    if (now > limit) {
      open.decrementAndGet();
      refused.incrementAndGet();
      return false;
    }
    maximum.accumulateAndGet(now, Math::max);
    sessions.put(processId, session);
    return true;
  }

  void unregister(int processId) {
    if (sessions.remove(processId) != null) {
      open.decrementAndGet();
    }
  }

  void cancel(int processId, int secret) {
    DatabaseSession session = sessions.get(processId);
    if (session != null) {
      session.cancel(secret);
    }
  }
}
