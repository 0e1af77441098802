package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Keeps this host registered and its {@link Confirmation} young.
 *
 * <p>All members share one lease, named by the epoch key. Whoever begins to replace a primary first
 * writes that into the table and then ends the lease. So a renewal that succeeds proves that, when
 * it was sent, no change had begun that the table read before doesn't show. After a renewal that
 * fails, the whole table is read again before the next one.
 *
 * <p>While the store serves nobody, nobody can begin a change. So a proof is also that each other
 * member says that the store doesn't serve it, that it has no change under way, and that its last
 * proof came from the same shared lease; a host with an older lease may have missed a change. One
 * member that doesn't answer voids that proof: it may be the one that the store still serves. The
 * members that a host knows may all be cut off from the store while it serves one that joined
 * later; so the store's last proof is extended for a limited time only, which a host that joined
 * lately waits out before it replaces a primary without their consent.
 *
 * <p>A proof counts only while this host is registered: members that are not registered are not
 * asked to let go of a primary.
 */
public final class ConfirmationRenewer {
  /** Lifetime of the shared lease; outlasts any outage in which the store lets leases expire. */
  private static final long EPOCH_TTL_MS = 120_000;

  private static final long RENEWAL_MS = 1_000;
  private static final long RETRY_MS = 300;

  private final CoordinationStore store;
  private final FleetTable table;
  private final Confirmation confirmation;
  private final FleetMessages messages;
  private final Timers timers;
  private final Member self;
  private final ControlListener listener;
  private final BooleanSupplier leaving;
  private Timers.@Nullable Timer next;
  private boolean loading;
  private boolean loaded;
  private boolean outage;
  private boolean asking;
  private long renewing;
  private long provenLease;

  /** Creates a keeper that does nothing before {@link #load}. */
  public ConfirmationRenewer(
      CoordinationStore store,
      FleetTable table,
      Confirmation confirmation,
      FleetMessages messages,
      Timers timers,
      Member self,
      ControlListener listener,
      BooleanSupplier leaving) {
    this.store = store;
    this.table = table;
    this.confirmation = confirmation;
    this.messages = messages;
    this.timers = timers;
    this.self = self;
    this.listener = listener;
    this.leaving = leaving;
  }

  /** Returns whether the table was read at least once. */
  public boolean loaded() {
    return loaded;
  }

  /** Reads the whole table, registers this host if needed and renews the proof. */
  public void load() {
    if (loading) {
      return;
    }
    loading = true;
    store.range(
        ControlKeys.PREFIX,
        reply -> {
          loading = false;
          if (!reply.done()) {
            schedule(RETRY_MS, this::load);
            return;
          }
          if (!loaded) {
            listener.changed("table_loaded", "store", reply.items().size() + " keys");
          }
          loaded = true;
          table.load(reply.items(), reply.revision());
          registerOrRenew();
        });
  }

  /** Renews the proof with what the table shows now. */
  public void registerOrRenew() {
    if (!loaded) {
      load();
    } else if (!registered()) {
      register();
    } else if (table.sharedLease() == 0) {
      createSharedLease();
    } else {
      renew(table.sharedLease());
    }
  }

  private boolean registered() {
    return leaving.getAsBoolean() || self.equals(table.member(self.name()));
  }

  private void register() {
    String key = ControlKeys.member(self.name());
    store.transact(
        List.of(),
        List.of(new CoordinationStore.Put(key, ControlKeys.encode(self), 0)),
        List.of(),
        reply -> {
          if (reply.done()) {
            listener.changed("registered", self.name(), self.address());
            load();
          } else {
            schedule(RETRY_MS, this::load);
          }
        });
  }

  /** Creates a new shared lease in place of one that ended. */
  public void createSharedLease() {
    long revision = table.revision(ControlKeys.SHARED_LEASE);
    store.grantLease(
        EPOCH_TTL_MS,
        granted -> {
          if (!granted.done()) {
            schedule(RETRY_MS, this::load);
            return;
          }
          store.transact(
              List.of(new CoordinationStore.Expectation(ControlKeys.SHARED_LEASE, revision)),
              List.of(
                  new CoordinationStore.Put(
                      ControlKeys.SHARED_LEASE, ControlKeys.encodeSharedLease(granted.lease()), 0)),
              List.of(),
              reply -> {
                if (!reply.done()) {
                  store.endLease(granted.lease(), ignored -> {});
                }
                load();
              });
        });
  }

  private void renew(long lease) {
    if (renewing == lease) {
      return;
    }
    renewing = lease;
    ClockReading sent = confirmation.now();
    store.renewLease(
        lease,
        reply -> {
          if (renewing == lease) {
            renewing = 0;
          }
          outage =
              reply.status() == CoordinationStore.Status.REFUSED
                  || reply.status() == CoordinationStore.Status.UNKNOWN;
          if (reply.done() && lease == table.sharedLease() && registered()) {
            confirmation.renewed(sent);
            provenLease = lease;
            schedule(RENEWAL_MS, this::registerOrRenew);
          } else if (reply.status() == CoordinationStore.Status.NOT_FOUND) {
            sharedLeaseEnded(lease);
          } else {
            askWitnesses();
            schedule(RETRY_MS, this::registerOrRenew);
          }
        });
  }

  /**
   * Returns whether the store did not serve this host when it last tried to renew its proof, the
   * proof before came from a lease, and this host knows of no later one.
   */
  public boolean confirmsStoreOutage(long lease) {
    return outage && lease != 0 && lease == provenLease && lease == table.sharedLease();
  }

  private void askWitnesses() {
    List<Member> others = new ArrayList<>();
    for (Member member : table.members()) {
      if (!member.name().equals(self.name())) {
        others.add(member);
      }
    }
    boolean proven = provenLease != 0 && provenLease == table.sharedLease();
    boolean may = outage && proven && registered() && confirmation.extendable();
    if (!may || asking || others.isEmpty()) {
      return;
    }
    asking = true;
    ClockReading sent = confirmation.now();
    MemberPoll.count(
        others,
        (member, answer) -> messages.confirmsStoreOutage(member, provenLease, answer),
        witnesses -> {
          asking = false;
          if (witnesses == others.size() && outage) {
            confirmation.extended(sent);
          }
        });
  }

  /** Reads the table again; replaces the lease if nobody else has done so after a while. */
  private void sharedLeaseEnded(long lease) {
    store.range(
        ControlKeys.PREFIX,
        reply -> {
          if (!reply.done()) {
            schedule(RETRY_MS, this::load);
            return;
          }
          table.load(reply.items(), reply.revision());
          if (table.sharedLease() == lease) {
            createSharedLease();
          } else {
            registerOrRenew();
          }
        });
  }

  private void schedule(long delayMillis, Runnable task) {
    if (next != null) {
      next.cancel();
    }
    next = timers.after(delayMillis, task);
  }
}
