package org.pollenspar.core.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * This host's copy of the table in the store: members, primaries, shared lease and holder of the
 * failover lease.
 *
 * <p>Reads of the whole table and events may arrive out of order, so for each key the entry with
 * the highest revision is kept.
 *
 * <p>Times are read from the steady clock of this host. Not thread-safe: used by the thread that
 * owns the state of the host.
 */
public final class FleetTable {
  private final PrimaryAuthority authority;
  private final Map<String, CoordinationStore.Item> items = new HashMap<>();
  private final Map<String, Member> members = new HashMap<>();

  /** When this host saw that suspended members could not renew their confirmations any more. */
  private final Map<String, Long> renewalImpossibleNanos = new HashMap<>();

  /** When this host saw the current record of each member. */
  private final Map<String, Long> recordSeenNanos = new HashMap<>();

  /** When this host first saw each of the latest fences of the failover lease. */
  private final TreeMap<Long, Long> fenceSeenNanos = new TreeMap<>();

  private final Clocks clocks;
  private Runnable onMembersChanged = () -> {};
  private Runnable onFailoverLeaseChanged = () -> {};
  private Consumer<Set<String>> onReplicasRemoved = ids -> {};

  /** Creates an empty table that passes on the records of primaries to an authority. */
  public FleetTable(PrimaryAuthority authority, Clocks clocks) {
    this.authority = authority;
    this.clocks = clocks;
  }

  /** Sets what runs when the members or the holder of the failover lease change. */
  public void listeners(Runnable members, Runnable failoverLease) {
    onMembersChanged = members;
    onFailoverLeaseChanged = failoverLease;
  }

  /**
   * Sets what receives the ids of databases that were removed from the record of their group's
   * replicas, because others hold their log.
   */
  public void onReplicasRemoved(Consumer<Set<String>> listener) {
    onReplicasRemoved = listener;
  }

  /** Applies a complete read of the store at a revision; keys that it lacks were deleted. */
  public void load(Collection<CoordinationStore.Item> all, long revision) {
    Map<String, CoordinationStore.Item> fresh = new HashMap<>();
    all.forEach(item -> fresh.put(item.key(), item));
    for (String key : List.copyOf(items.keySet())) {
      if (!fresh.containsKey(key)) {
        apply(new CoordinationStore.Item(key, "", revision, true));
      }
    }
    all.forEach(this::apply);
  }

  /** Applies an item or event unless a newer one of its key is known. */
  public void apply(CoordinationStore.Item item) {
    CoordinationStore.@Nullable Item known = items.get(item.key());
    if (known != null && known.revision() >= item.revision()) {
      return;
    }
    items.put(item.key(), item);
    if (ControlKeys.isMember(item.key())) {
      applyMember(item);
      updateRenewalImpossible();
    } else if (item.key().equals(ControlKeys.SHARED_LEASE)) {
      updateRenewalImpossible();
    } else if (ControlKeys.isPrimary(item.key()) && !item.deleted()) {
      @Nullable PrimaryRecord record =
          ControlKeys.decodePrimary(item.key(), item.value(), item.revision());
      if (record != null) {
        authority.update(record);
      }
    } else if (ControlKeys.isReplicas(item.key()) && !item.deleted()) {
      onReplicasRemoved.accept(ReplicaSet.decode(item.value()).removed());
    } else if (item.key().equals(ControlKeys.FAILOVER_LEASE)) {
      if (!item.deleted()) {
        recordFence(item.revision());
      }
      onFailoverLeaseChanged.run();
    }
  }

  /**
   * Records when a fence was seen. Of the fences seen so long ago that no call of an earlier holder
   * can take effect any more, the latest stands for all.
   */
  private void recordFence(long fence) {
    fenceSeenNanos.put(fence, clocks.steadyNanos());
    while (fenceSeenNanos.size() > 1) {
      long second = fenceSeenNanos.higherEntry(fenceSeenNanos.firstKey()).getValue();
      if ((clocks.steadyNanos() - second) / 1_000_000 < PromotionCalls.LATE_CALL_MS) {
        return;
      }
      fenceSeenNanos.pollFirstEntry();
    }
  }

  /**
   * Returns when this host first saw a later fence of the failover lease than this one, in
   * nanoseconds of the steady clock; null if it has seen none. The holder with this fence had lost
   * its lease by then. A host that joined later saw it when it first loaded the table. Null also
   * for {@link PrimaryRecord#UNKNOWN_FENCE}.
   */
  @Nullable Long laterFenceSeenNanos(long fence) {
    if (fence == PrimaryRecord.UNKNOWN_FENCE) {
      return null;
    }
    Map.@Nullable Entry<Long, Long> later = fenceSeenNanos.higherEntry(fence);
    return later == null ? null : later.getValue();
  }

  private void applyMember(CoordinationStore.Item item) {
    @Nullable Member member =
        item.deleted() ? null : ControlKeys.decodeMember(item.key(), item.value());
    if (member == null) {
      members.remove(ControlKeys.memberName(item.key()));
    } else {
      recordSeenNanos.put(member.name(), clocks.steadyNanos());
      // Between two suspensions the member may have registered again without an event arriving.
      renewalImpossibleNanos.remove(member.name());
      members.put(member.name(), member);
    }
    onMembersChanged.run();
  }

  /**
   * Records when suspended members could no longer renew their confirmations. That is so once the
   * shared lease is newer than the suspension: a member renews only a shared lease that it has
   * read, and whoever reads this one also reads the suspension.
   */
  private void updateRenewalImpossible() {
    long sharedLeaseRevision = revision(ControlKeys.SHARED_LEASE);
    for (Member member : members.values()) {
      boolean cannotRenew = revision(ControlKeys.member(member.name())) < sharedLeaseRevision;
      if (member.suspended() && cannotRenew) {
        renewalImpossibleNanos.putIfAbsent(member.name(), clocks.steadyNanos());
      }
    }
    renewalImpossibleNanos.keySet().retainAll(members.keySet());
    recordSeenNanos.keySet().retainAll(members.keySet());
  }

  /**
   * Returns for how long this host has known that a suspended member cannot renew its confirmation;
   * -1 if the member may still renew it.
   */
  public long millisSinceLastPossibleRenewal(String member) {
    @Nullable Long since = renewalImpossibleNanos.get(member);
    return since == null ? -1 : (clocks.steadyNanos() - since) / 1_000_000;
  }

  /** Returns for how long this host has seen a member's record unchanged; 0 without one. */
  public long unchangedForMillis(String member) {
    @Nullable Long since = members.containsKey(member) ? recordSeenNanos.get(member) : null;
    return since == null ? 0 : (clocks.steadyNanos() - since) / 1_000_000;
  }

  public Collection<Member> members() {
    return members.values();
  }

  /** Returns null if the member isn't registered. */
  public @Nullable Member member(String name) {
    return members.get(name);
  }

  /** Returns the revision at which a key was last changed; 0 if it doesn't exist. */
  public long revision(String key) {
    CoordinationStore.@Nullable Item item = items.get(key);
    return item == null || item.deleted() ? 0 : item.revision();
  }

  /** Returns the value of a key; null if it doesn't exist. */
  public @Nullable String value(String key) {
    CoordinationStore.@Nullable Item item = items.get(key);
    return item == null || item.deleted() ? null : item.value();
  }

  /**
   * Returns whether a change of a primary is known to have begun after the shared lease was
   * created, so that the lease has been ended or soon will be.
   */
  boolean changeBegunSinceSharedLease() {
    return authority.newestIntentRevision() > revision(ControlKeys.SHARED_LEASE);
  }

  /** Returns the id of the lease that all members share; 0 if there is none. */
  public long sharedLease() {
    @Nullable String value = value(ControlKeys.SHARED_LEASE);
    return value == null ? 0 : ControlKeys.decodeSharedLease(value);
  }
}
