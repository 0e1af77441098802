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
  private Runnable onMembers = () -> {};
  private Runnable onDuty = () -> {};

  /** Creates an empty table that keeps an authority up to date. */
  public FleetTable(PrimaryAuthority authority) {
    this.authority = authority;
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
    } else if (ControlKeys.isPrimary(item.key()) && !item.deleted()) {
      @Nullable PrimaryRecord record =
          ControlKeys.decodePrimary(item.key(), item.value(), item.revision());
      if (record != null) {
        authority.update(record);
      }
    } else if (item.key().equals(ControlKeys.DUTY)) {
      onDuty.run();
    }
  }

  private void applyMember(CoordinationStore.Item item) {
    @Nullable Member member =
        item.deleted() ? null : ControlKeys.decodeMember(item.key(), item.value());
    if (member == null) {
      members.remove(ControlKeys.memberName(item.key()));
    } else {
      members.put(member.name(), member);
    }
    onMembers.run();
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
  public long epochLease() {
    @Nullable String value = value(ControlKeys.EPOCH);
    return value == null ? 0 : ControlKeys.decodeEpoch(value);
  }
}
