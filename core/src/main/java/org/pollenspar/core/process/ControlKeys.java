package org.pollenspar.core.process;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/**
 * Keys and values of the table that the fleet shares in the platform's store. The values are JSON
 * objects, except for the holder of the failover lease, which is plain text.
 *
 * <p>Invariant: the key of the shared lease sorts before those of members and primaries. A read of
 * several pages is no snapshot, but its pages are read in the order of the keys. So each record is
 * read after the shared lease, and a host that has read a shared lease has also read every change
 * and suspension that came before it.
 */
public final class ControlKeys {
  /** Prefix of all keys of pollenspar. */
  public static final String PREFIX = "pollenspar/";

  /** Key whose value names the lease that all members share. */
  public static final String SHARED_LEASE = PREFIX + "epoch";

  /** Key with a lease, written by the host that holds the failover lease. */
  public static final String FAILOVER_LEASE = PREFIX + "duty";

  private static final String MEMBER = PREFIX + "member/";
  private static final String PRIMARY = PREFIX + "primary/";
  private static final String REPLICAS = PREFIX + "replicas/";
  private static final int MAX_PROCESSOR_PERMILLE = 1_000_000;

  /** Counted for a member whose record states no processor share. */
  private static final int DEFAULT_PROCESSOR_PERMILLE = 1_000;

  private static final JsonMapper JSON = new JsonMapper();

  private ControlKeys() {}

  public static String member(String name) {
    return MEMBER + name;
  }

  /** Returns the key of the record of a group's primary. */
  public static String primary(String group) {
    return PRIMARY + group;
  }

  /** Returns the key of the {@link ReplicaSet} of a group with synchronous replication. */
  static String replicas(String group) {
    return REPLICAS + group;
  }

  /** Returns whether a key is that of a {@link ReplicaSet}. */
  static boolean isReplicas(String key) {
    return key.startsWith(REPLICAS);
  }

  public static boolean isMember(String key) {
    return key.startsWith(MEMBER);
  }

  /** Returns whether a key is that of a primary's record. */
  public static boolean isPrimary(String key) {
    return key.startsWith(PRIMARY);
  }

  public static String memberName(String key) {
    return key.substring(MEMBER.length());
  }

  public static String encode(Member member) {
    ObjectNode node = JSON.createObjectNode();
    node.put("address", member.address());
    node.put("incarnation", member.incarnation());
    if (!member.domain().isEmpty()) {
      node.put("domain", member.domain());
    }
    node.put("processor", member.processorPermille());
    if (member.suspended()) {
      node.put("suspended", true);
    }
    return node.toString();
  }

  /** Returns null if the value isn't a valid record of a member. */
  public static @Nullable Member decodeMember(String key, String value) {
    try {
      StoredValue record = StoredValue.parse(value);
      return new Member(
          memberName(key),
          record.text("address"),
          record.text("incarnation"),
          record.has("domain") ? record.text("domain") : "",
          (int) record.number("processor", 1, MAX_PROCESSOR_PERMILLE, DEFAULT_PROCESSOR_PERMILLE),
          record.flag("suspended"));
    } catch (StoredValue.InvalidException e) {
      return null;
    }
  }

  /** Leaves out the group, which the key names, and the revision, which the store assigns. */
  public static String encode(PrimaryRecord record) {
    ObjectNode node = JSON.createObjectNode();
    node.put("database", record.database());
    node.put("term", record.term());
    node.put("changing", record.changing());
    node.put("fence", record.fence());
    if (!record.candidate().isEmpty()) {
      node.put("candidate", record.candidate());
    }
    if (record.candidateTerm() != PrimaryRecord.NO_TERM) {
      node.put("candidate_term", record.candidateTerm());
    }
    if (record.callerFence() != PrimaryRecord.UNKNOWN_FENCE) {
      node.put("caller_fence", record.callerFence());
    }
    return node.toString();
  }

  /** Returns null if the value isn't a valid record of a primary. */
  public static @Nullable PrimaryRecord decodePrimary(String key, String value, long revision) {
    try {
      StoredValue record = StoredValue.parse(value);
      return new PrimaryRecord(
          key.substring(PRIMARY.length()),
          record.text("database"),
          record.number("term", 0, Long.MAX_VALUE),
          record.flag("changing"),
          record.number("fence", 0, Long.MAX_VALUE),
          record.has("candidate") ? record.text("candidate") : "",
          record.number("candidate_term", 0, Long.MAX_VALUE, PrimaryRecord.NO_TERM),
          record.number("caller_fence", 1, Long.MAX_VALUE, PrimaryRecord.UNKNOWN_FENCE),
          revision);
    } catch (StoredValue.InvalidException e) {
      return null;
    }
  }

  public static String encodeSharedLease(long lease) {
    return JSON.createObjectNode().put("lease", lease).toString();
  }

  /** Returns 0 if the value names no lease. */
  public static long decodeSharedLease(String value) {
    try {
      return StoredValue.parse(value).number("lease", 1, Long.MAX_VALUE);
    } catch (StoredValue.InvalidException e) {
      return 0;
    }
  }
}
