package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Timers;

/** The brokers that this host runs, by database. */
public final class SlotBrokers {
  private static final long SWEEP_MS = 100;

  private final Clocks clocks;
  private final Timers timers;
  private final Map<String, SlotBroker> brokers = new HashMap<>();
  private boolean sweeping;

  /** Creates a host without brokers. */
  public SlotBrokers(Clocks clocks, Timers timers) {
    this.clocks = clocks;
    this.timers = timers;
  }

  /** Decides about a permitRequest for a database with a number of slots. */
  public void ask(String database, int slots, SlotPermitRequest permitRequest) {
    SlotBroker broker = brokers.computeIfAbsent(database, key -> new SlotBroker(slots));
    broker.slots(slots);
    broker.ask(permitRequest, clocks.steadyNanos());
    sweepLater();
  }

  /** Takes back a permitRequest. */
  public void end(String database, SlotPermitRequest permitRequest, long delayMillis) {
    @Nullable SlotBroker broker = brokers.get(database);
    if (broker != null) {
      broker.end(permitRequest, delayMillis, clocks.steadyNanos());
    }
  }

  /** Returns the number of databases that this host has brokered. */
  public int size() {
    return brokers.size();
  }

  /** Returns how many permits this host has granted. */
  public long grants() {
    return brokers.values().stream().mapToLong(SlotBroker::grants).sum();
  }

  /** Returns how many permits this host has refused. */
  public long refusals() {
    return brokers.values().stream().mapToLong(SlotBroker::refusals).sum();
  }

  private void sweepLater() {
    if (!sweeping) {
      sweeping = true;
      timers.after(SWEEP_MS, this::sweep);
    }
  }

  private void sweep() {
    sweeping = false;
    brokers.values().forEach(broker -> broker.expire(clocks.steadyNanos()));
    if (brokers.values().stream().anyMatch(broker -> !broker.idle())) {
      sweepLater();
    }
  }
}
