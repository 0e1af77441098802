package org.pollenspar.core.process;

import java.util.List;
import org.pollenspar.core.process.CoordinationStore.Expectation;
import org.pollenspar.core.process.CoordinationStore.Put;

/**
 * Acquires and renews the failover lease.
 *
 * <p>The failover lease is a key in the store with a lease, so one host at a time holds it. The
 * fencing token, called fence, is the revision at which the key was written, so it grows with each
 * holder. Every write of a primary's record requires that the key still has that revision, so the
 * writes of an earlier holder fail, also if it was paused and does not know that its lease has
 * expired.
 *
 * <p>Not thread-safe: all calls come from the thread that runs the {@link Timers}.
 */
final class FailoverLease {
  private static final long LEASE_MS = 3_000;
  private static final long RENEWAL_MS = 1_000;

  /** Follows which host holds the failover lease. */
  interface Owner {
    /** This host holds the lease from now on. */
    void taken();

    /** This host no longer holds the lease. */
    void lost();
  }

  private final CoordinationStore store;
  private final FleetTable table;
  private final Timers timers;
  private final Clocks clocks;
  private final ControlListener listener;
  private final String self;
  private final ConfirmationRenewer renewer;
  private final long takeoverDelayMillis;
  private final Owner owner;
  private boolean acquiring;
  private boolean stopped;
  private long lease;
  private long fence;
  private long takenNanos;
  private ClockReading renewalSent;

  /**
   * Creates a lease that this host does not hold.
   *
   * @param takeoverDelayMillis how long this host leaves a free lease to other hosts; differs
   *     between hosts so that they do not compete for it
   */
  FailoverLease(
      CoordinationStore store,
      FleetTable table,
      Timers timers,
      Clocks clocks,
      ControlListener listener,
      String self,
      ConfirmationRenewer renewer,
      long takeoverDelayMillis,
      Owner owner) {
    this.store = store;
    this.table = table;
    this.timers = timers;
    this.clocks = clocks;
    this.listener = listener;
    this.self = self;
    this.renewer = renewer;
    this.takeoverDelayMillis = takeoverDelayMillis;
    this.owner = owner;
    this.renewalSent = ClockReading.now(clocks);
  }

  /** Returns whether this host has taken the lease and doesn't know that it has lost it. */
  boolean taken() {
    return lease != 0;
  }

  /** Returns false as soon as either clock shows that the lease may have expired. */
  boolean holds() {
    return holdsFor(0);
  }

  /** Returns whether this host holds the lease for a further time, also if no renewal succeeds. */
  boolean holdsFor(long millis) {
    return lease != 0 && renewalSent.ageMillis(clocks) + millis < LEASE_MS;
  }

  long fence() {
    return fence;
  }

  /** Returns when this host took the lease, on the steady clock. */
  long takenNanos() {
    return takenNanos;
  }

  /** Starts to acquire the lease if no host holds it. */
  void acquireIfFree() {
    if (!acquiring && !stopped && lease == 0 && free()) {
      acquiring = true;
      timers.after(takeoverDelayMillis, this::acquire);
    }
  }

  private boolean free() {
    return table.revision(ControlKeys.FAILOVER_LEASE) == 0;
  }

  private void acquire() {
    if (!free() || stopped || !renewer.loaded()) {
      acquiring = false;
      return;
    }
    renewalSent = ClockReading.now(clocks);
    store.grantLease(
        LEASE_MS,
        granted -> {
          if (!granted.done()) {
            retryAcquire();
            return;
          }
          writeKey(granted.lease());
        });
  }

  private void writeKey(long granted) {
    store.transact(
        List.of(new Expectation(ControlKeys.FAILOVER_LEASE, 0)),
        List.of(new Put(ControlKeys.FAILOVER_LEASE, self, granted)),
        List.of(),
        reply -> {
          if (!reply.done()) {
            store.endLease(granted, ignored -> {});
            retryAcquire();
            return;
          }
          acquiring = false;
          if (stopped) {
            store.endLease(granted, ignored -> {});
            return;
          }
          lease = granted;
          fence = reply.revision();
          takenNanos = clocks.steadyNanos();
          listener.changed("duty_taken", self, "fence " + fence);
          scheduleRenewal();
          owner.taken();
        });
  }

  private void retryAcquire() {
    acquiring = false;
    timers.after(LEASE_MS / 2, this::acquireIfFree);
  }

  private void scheduleRenewal() {
    timers.after(RENEWAL_MS, this::renew);
  }

  private void renew() {
    if (lease == 0) {
      return;
    }
    ClockReading sent = ClockReading.now(clocks);
    store.renewLease(
        lease,
        reply -> {
          if (reply.done()) {
            renewalSent = sent;
          }
          if (reply.status() == CoordinationStore.Status.NOT_FOUND) {
            lost("the store no longer has the lease");
          } else if (lease != 0) {
            scheduleRenewal();
          }
        });
  }

  private void lost(String reason) {
    lease = 0;
    listener.changed("duty_lost", self, reason);
    owner.lost();
    timers.after(LEASE_MS, this::acquireIfFree);
  }

  /** Doesn't acquire the lease any more, because the process stops. */
  void stop() {
    stopped = true;
  }

  /** Leaves the lease to other hosts; {@link #stop} must have been called. */
  void release() {
    if (lease != 0) {
      long endedLease = lease;
      lost("the process is stopping");
      store.endLease(endedLease, ignored -> {});
    }
  }
}
