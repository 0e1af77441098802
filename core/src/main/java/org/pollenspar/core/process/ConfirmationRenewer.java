package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Keeps this host registered as a member and renews its {@link Confirmation}.
 *
 * <p>All members renew one shared lease, which the epoch key in the store names. A host that begins
 * to replace a primary first writes the change into the table and then ends the shared lease. So a
 * renewal that succeeds shows that, when it was sent, no change had begun that is missing from the
 * table that this host read before. After a renewal that finds the lease ended, the whole table is
 * read again before the next renewal.
 *
 * <p>While the store serves no host, no host can begin a change. So the other members can extend
 * the confirmation if each of them reports that the store does not serve it, that it has no change
 * in progress, that its last confirmation came from the same shared lease, and that it knows of no
 * change that began since that lease was created; a member with an older lease may have missed a
 * change, and the host that began a change may have given it up. One member that does not answer
 * prevents the extension, because the store may still serve that member. All members that this host
 * knows may be cut off from the store while it serves a member that joined later. So the store's
 * last confirmation is extended for a limited time only, and a host that joined recently waits for
 * that time before it replaces a primary without the consent of all members.
 *
 * <p>A confirmation is renewed only while this host is registered, because hosts that are not
 * registered are not asked to stop using a primary. A host that leaves does not register again; if
 * its record was changed, its confirmation expires.
 *
 * <p>A process that registers under the name of an earlier one at another address keeps the earlier
 * one as a suspended member, since that may still run and use primaries. At the same address the
 * earlier process has ended, because its port was free.
 *
 * <p>Not thread-safe: all calls come from the thread that runs the {@link Timers}.
 */
public final class ConfirmationRenewer {
  /** Longer than any outage of the store during which it lets leases expire. */
  private static final long SHARED_LEASE_TTL_MS = 120_000;

  private static final long RENEWAL_MS = 1_000;
  private static final long RETRY_MS = 300;

  /**
   * Age of the confirmation from which on the members are asked to extend it. Asking earlier gains
   * nothing, and each question costs as many messages as there are members.
   */
  private static final long EXTENSION_AGE_MS = 2_000;

  private final CoordinationStore store;
  private final FleetTable table;
  private final Confirmation confirmation;
  private final FleetMessages messages;
  private final SharedRenewal renewal;
  private final Timers timers;
  private final Member self;
  private final ControlListener listener;
  private final BooleanSupplier leaving;
  private Timers.@Nullable Timer scheduled;
  private boolean loading;
  private boolean loaded;

  /** Revision of the store at which the whole table was last read. */
  private long loadedRevision;

  private boolean unregistered;
  private boolean storeOutage;
  private boolean askingMembers;
  private long renewingLease;
  private long confirmedLease;

  /** Creates a renewer that does nothing before {@link #load}. */
  public ConfirmationRenewer(
      CoordinationStore store,
      FleetTable table,
      Confirmation confirmation,
      FleetMessages messages,
      SharedRenewal renewal,
      Timers timers,
      Member self,
      ControlListener listener,
      BooleanSupplier leaving) {
    this.store = store;
    this.table = table;
    this.confirmation = confirmation;
    this.messages = messages;
    this.renewal = renewal;
    this.timers = timers;
    this.self = self;
    this.listener = listener;
    this.leaving = leaving;
  }

  /** Returns whether the table was read at least once. */
  public boolean loaded() {
    return loaded;
  }

  /** Reads the whole table, registers this host if needed and renews the confirmation. */
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
          applyWholeTable(reply);
          registerOrRenew();
        });
  }

  private void applyWholeTable(CoordinationStore.Reply reply) {
    table.load(reply.items(), reply.revision());
    loadedRevision = Math.max(loadedRevision, reply.revision());
  }

  /**
   * Does the next step for the current state of the table: registers this host, creates a shared
   * lease, or renews the confirmation.
   */
  public void registerOrRenew() {
    if (!loaded || (registered() && !loadedSinceRegistration())) {
      load();
    } else if (!registered()) {
      if (!leaving.getAsBoolean() && !unregistered) {
        register();
      }
    } else if (table.sharedLease() == 0) {
      createSharedLease();
    } else {
      renew(table.sharedLease());
    }
  }

  /** Returns whether the table holds the record of this process, and no suspension of it. */
  private boolean registered() {
    return !unregistered && self.equals(table.member(self.name()));
  }

  /**
   * Returns whether the table was read after this host had registered. Events that arrive before
   * the first read are ignored, so the table may lack a change that began before the registration,
   * and which therefore doesn't ask this host.
   */
  private boolean loadedSinceRegistration() {
    return table.revision(ControlKeys.member(self.name())) <= loadedRevision;
  }

  /**
   * Registers this host, unless its record has changed: an earlier call that is executed late must
   * not replace a later registration.
   */
  private void register() {
    String key = ControlKeys.member(self.name());
    List<CoordinationStore.Put> puts = new ArrayList<>();
    puts.add(new CoordinationStore.Put(key, ControlKeys.encode(self), 0));
    @Nullable Member earlier = table.member(self.name());
    if (earlier != null && !earlier.address().equals(self.address())) {
      Member kept = earlier.asReplaced();
      puts.add(
          new CoordinationStore.Put(ControlKeys.member(kept.name()), ControlKeys.encode(kept), 0));
    }
    store.transact(
        List.of(new CoordinationStore.Expectation(key, table.revision(key))),
        puts,
        List.of(),
        reply -> {
          if (reply.done()) {
            listener.changed("registered", self.name(), self.address());
            if (loadedRevision < reply.revision()) {
              load();
            }
          } else {
            schedule(RETRY_MS, this::load);
          }
        });
  }

  /**
   * Removes this process from the members; its confirmation no longer holds from now on. A call
   * that is executed late does not remove a later registration.
   */
  public void unregister(Runnable done) {
    unregistered = true;
    confirmation.withdraw();
    @Nullable Member current = table.member(self.name());
    boolean replaced = current != null && !current.incarnation().equals(self.incarnation());
    String key = ControlKeys.member(replaced ? self.asReplaced().name() : self.name());
    store.transact(
        List.of(new CoordinationStore.Expectation(key, table.revision(key))),
        List.of(),
        List.of(key),
        ignored -> done.run());
  }

  /** Creates a shared lease if there is none or the last one has ended. */
  public void createSharedLease() {
    long revision = table.revision(ControlKeys.SHARED_LEASE);
    store.grantLease(
        SHARED_LEASE_TTL_MS,
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
    if (renewingLease == lease) {
      return;
    }
    renewingLease = lease;
    ClockReading sent = confirmation.now();
    renewal.renew(
        lease,
        !confirmation.holds(),
        reply -> {
          if (renewingLease == lease) {
            renewingLease = 0;
          }
          storeOutage =
              reply.status() == CoordinationStore.Status.REFUSED
                  || reply.status() == CoordinationStore.Status.UNKNOWN;
          boolean member = registered() && loadedSinceRegistration();
          if (reply.done() && lease == table.sharedLease() && member) {
            confirmation.renewed(sent);
            confirmedLease = lease;
            schedule(RENEWAL_MS, this::registerOrRenew);
          } else if (reply.status() == CoordinationStore.Status.NOT_FOUND) {
            sharedLeaseEnded(lease);
          } else {
            requestExtension();
            schedule(RETRY_MS, this::registerOrRenew);
          }
        });
  }

  /**
   * Returns whether the store did not serve the last renewal by this host, its last confirmation
   * came from the given shared lease, and it knows of no later shared lease or change.
   */
  public boolean confirmsStoreOutage(long lease) {
    return storeOutage
        && lease != 0
        && lease == confirmedLease
        && lease == table.sharedLease()
        && !table.changeBegunSinceSharedLease();
  }

  private void requestExtension() {
    List<Member> others = new ArrayList<>();
    for (Member member : table.members()) {
      if (!member.name().equals(self.name())) {
        others.add(member);
      }
    }
    boolean confirmed = confirmedLease != 0 && confirmedLease == table.sharedLease();
    boolean allowed =
        storeOutage
            && confirmed
            && registered()
            && !table.changeBegunSinceSharedLease()
            && confirmation.extendable()
            && confirmation.ageMillis() >= EXTENSION_AGE_MS;
    if (!allowed || askingMembers || others.isEmpty()) {
      return;
    }
    askingMembers = true;
    ClockReading sent = confirmation.now();
    MemberPoll.count(
        others,
        (member, answer) -> messages.confirmsStoreOutage(member, confirmedLease, answer),
        confirming -> {
          askingMembers = false;
          if (confirming == others.size() && storeOutage && registered()) {
            confirmation.extended(sent);
          }
        });
  }

  /** Reads the table again and creates a shared lease unless another host already did. */
  private void sharedLeaseEnded(long lease) {
    store.range(
        ControlKeys.PREFIX,
        reply -> {
          if (!reply.done()) {
            schedule(RETRY_MS, this::load);
            return;
          }
          applyWholeTable(reply);
          if (table.sharedLease() == lease) {
            createSharedLease();
          } else {
            registerOrRenew();
          }
        });
  }

  private void schedule(long delayMillis, Runnable task) {
    if (scheduled != null) {
      scheduled.cancel();
    }
    scheduled = timers.after(delayMillis, task);
  }
}
