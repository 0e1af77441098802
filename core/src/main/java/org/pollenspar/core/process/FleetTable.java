package org.pollenspar.core.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * This host's copy of the store's table: members, primaries, shared lease and duty.
 *
 * <p>Reads of the whole table and events may cross; each key keeps its highest revision.
 */
public final class FleetTable {
  private final PrimaryAuthority authority;
  private final Map<String, CoordinationStore.Item> items = new HashMap<>();
  private final Map<String, Member> members = new HashMap<>();

  /** When this host saw that suspended members can't renew their proofs any more. */
  private final Map<String, Long> voidedNanos = new HashMap<>();

  /** When this host saw the present record of each member. */
  private final Map<String, Long> seenNanos = new HashMap<>();

  private final Clocks clocks;
  private Runnable onMembers = () -> {};
  private Runnable onDuty = () -> {};

  /** Creates an empty table that keeps an authority up to date. */
  public FleetTable(PrimaryAuthority authority, Clocks clocks) {
    this.authority = authority;
    this.clocks = clocks;
  }

  /** Sets what runs when the members or the holder of the duty change. */
  public void listeners(Runnable members, Runnable duty) {
    onMembers = members;
    onDuty = duty;
  }

  /** Replaces the table by a complete read at a revision. */
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

  /** Takes over one item or event. */
  public void apply(CoordinationStore.Item item) {
    CoordinationStore.@Nullable Item known = items.get(item.key());
    if (known != null && known.revision() >= item.revision()) {
      return;
    }
    items.put(item.key(), item);
    if (ControlKeys.isMember(item.key())) {
      applyMember(item);
      noteVoided();
    } else if (item.key().equals(ControlKeys.SHARED_LEASE)) {
      noteVoided();
    } else if (ControlKeys.isPrimary(item.key()) && !item.deleted()) {
      @Nullable PrimaryRecord record =
          ControlKeys.decodePrimary(item.key(), item.value(), item.revision());
      if (record != null) {
        authority.update(record);
      }
    } else if (item.key().equals(ControlKeys.FAILOVER_LEASE)) {
      onDuty.run();
    }
  }

  private void applyMember(CoordinationStore.Item item) {
    @Nullable Member member =
        item.deleted() ? null : ControlKeys.decodeMember(item.key(), item.value());
    if (member == null) {
      members.remove(ControlKeys.memberName(item.key()));
    } else {
      seenNanos.put(member.name(), clocks.steadyNanos());
      // Between two suspensions the member may have registered again, unseen in a gap of events.
      voidedNanos.remove(member.name());
      members.put(member.name(), member);
    }
    onMembers.run();
  }

  /**
   * Notes which suspended members have lost the shared lease: one that was created after their
   * suspension is known to a host only together with the suspension.
   */
  private void noteVoided() {
    long epochRevision = revision(ControlKeys.SHARED_LEASE);
    for (Member member : members.values()) {
      boolean lost = revision(ControlKeys.member(member.name())) < epochRevision;
      if (member.suspended() && lost) {
        voidedNanos.putIfAbsent(member.name(), clocks.steadyNanos());
      }
    }
    voidedNanos.keySet().retainAll(members.keySet());
    seenNanos.keySet().retainAll(members.keySet());
  }

  /**
   * Returns for how long a member has certainly not renewed its proof, as far as this host saw; -1
   * if it may have.
   */
  public long millisSinceLastPossibleRenewal(String member) {
    @Nullable Long since = voidedNanos.get(member);
    return since == null ? -1 : (clocks.steadyNanos() - since) / 1_000_000;
  }

  /** Returns for how long a member's record has stood, as far as this host saw; 0 without one. */
  public long unchangedForMillis(String member) {
    @Nullable Long since = members.containsKey(member) ? seenNanos.get(member) : null;
    return since == null ? 0 : (clocks.steadyNanos() - since) / 1_000_000;
  }

  /** Returns the registered members. */
  public Collection<Member> members() {
    return members.values();
  }

  /** Returns a member; null if it isn't registered. */
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

  /** Returns the lease shared by all members; 0 if there is none. */
  public long sharedLease() {
    @Nullable String value = value(ControlKeys.SHARED_LEASE);
    return value == null ? 0 : ControlKeys.decodeSharedLease(value);
  }
}
