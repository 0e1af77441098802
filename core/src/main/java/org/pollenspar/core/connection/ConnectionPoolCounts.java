package org.pollenspar.core.connection;

import java.util.EnumMap;
import java.util.Map;

/** Counts what the connection pools of a group did, for metrics. */
public final class ConnectionPoolCounts {
  /** Why a request got no connection. */
  public enum Refusal {
    /** The database can't be reached. */
    UNREACHABLE,
    /** The expected wait, here or at the broker, exceeds what the request can wait. */
    OVERLOADED,
    /** Paused transactions hold all connections of this host. */
    HELD,
    /** The database's connection limit is used up. */
    OUT_OF_CONNECTIONS,
    /** The database is taken out of service or replaced as the primary. */
    OUT_OF_SERVICE
  }

  private final Map<Refusal, Long> refusals = new EnumMap<>(Refusal.class);
  private long opened;
  private long closedToMakeRoom;

  void countOpened() {
    opened++;
  }

  void countClosedToMakeRoom() {
    closedToMakeRoom++;
  }

  void countRefusal(Refusal cause) {
    refusals.merge(cause, 1L, Long::sum);
  }

  /** Returns the number of connections that were opened, for all organisations together. */
  public long opened() {
    return opened;
  }

  /**
   * Returns the number of idle connections that were closed to open one for another organisation.
   */
  public long closedToMakeRoom() {
    return closedToMakeRoom;
  }

  /** Returns the number of requests that were refused for a cause. */
  public long refusals(Refusal cause) {
    return refusals.getOrDefault(cause, 0L);
  }
}
