package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Timers;

/** The brokers that this host runs, one per database. */
public final class SlotBrokers {
  private static final long EXPIRY_INTERVAL_MS = 100;

  private final Clocks clocks;
  private final Timers timers;
  private final Map<String, SlotBroker> brokers = new HashMap<>();
  private boolean expiryScheduled;

  /** Creates an empty set of brokers; the first request for a database creates its broker. */
  public SlotBrokers(Clocks clocks, Timers timers) {
    this.clocks = clocks;
    this.timers = timers;
  }

  /** Grants, queues or refuses a permit request for a database with a number of slots. */
  public void ask(String database, int slots, SlotPermitRequest permitRequest) {
    SlotBroker broker = brokers.computeIfAbsent(database, key -> new SlotBroker(slots));
    broker.slots(slots);
    broker.ask(permitRequest, clocks.steadyNanos());
    scheduleExpiry();
  }

  /** Releases a permit or withdraws a request that waits; see {@link SlotBroker#end}. */
  public void end(String database, SlotPermitRequest permitRequest, long delayMillis) {
    @Nullable SlotBroker broker = brokers.get(database);
    if (broker != null) {
      broker.end(permitRequest, delayMillis, clocks.steadyNanos());
    }
  }

  /** Returns the number of databases for which this host has a broker. */
  public int size() {
    return brokers.size();
  }

  /** Returns how many permit requests this host has granted. */
  public long grants() {
    return brokers.values().stream().mapToLong(SlotBroker::grants).sum();
  }

  /** Returns how many permit requests this host has refused. */
  public long refusals() {
    return brokers.values().stream().mapToLong(SlotBroker::refusals).sum();
  }

  private void scheduleExpiry() {
    if (!expiryScheduled) {
      expiryScheduled = true;
      timers.after(EXPIRY_INTERVAL_MS, this::expire);
    }
  }

  private void expire() {
    expiryScheduled = false;
    brokers.values().forEach(broker -> broker.expire(clocks.steadyNanos()));
    if (brokers.values().stream().anyMatch(broker -> !broker.idle())) {
      scheduleExpiry();
    }
  }
}
