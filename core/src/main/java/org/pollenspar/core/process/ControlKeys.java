package org.pollenspar.core.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/** Keys and values that pollenspar keeps in the platform's store, as JSON objects. */
public final class ControlKeys {
  /** Prefix of all keys. */
  public static final String PREFIX = "pollenspar/";

  /** Names the lease shared by all members. */
  public static final String SHARED_LEASE = PREFIX + "epoch";

  /** Held by the host that replaces primaries. */
  public static final String FAILOVER_LEASE = PREFIX + "duty";

  private static final String MEMBER = PREFIX + "member/";
  private static final String PRIMARY = PREFIX + "primary/";
  private static final JsonMapper JSON = new JsonMapper();

  private ControlKeys() {}

  /** Returns the key of a member. */
  public static String member(String name) {
    return MEMBER + name;
  }

  /** Returns the key of a group's primary. */
  public static String primary(String group) {
    return PRIMARY + group;
  }

  /** Returns whether a key belongs to a member. */
  public static boolean isMember(String key) {
    return key.startsWith(MEMBER);
  }

  /** Returns whether a key names a group's primary. */
  public static boolean isPrimary(String key) {
    return key.startsWith(PRIMARY);
  }

  /** Returns the name of the member that a key belongs to. */
  public static String memberName(String key) {
    return key.substring(MEMBER.length());
  }

  /** Encodes a member. */
  public static String encode(Member member) {
    ObjectNode node = JSON.createObjectNode();
    node.put("address", member.address());
    node.put("incarnation", member.incarnation());
    if (member.suspended()) {
      node.put("suspended", true);
    }
    return node.toString();
  }

  /** Decodes a member; null if the value isn't one. */
  public static @Nullable Member decodeMember(String key, String value) {
    @Nullable JsonNode node = parse(value);
    return node == null
        ? null
        : new Member(
            memberName(key),
            node.path("address").asText(),
            node.path("incarnation").asText(),
            node.path("suspended").asBoolean());
  }

  /** Encodes a group's primary; the revision is the store's. */
  public static String encode(PrimaryRecord record) {
    ObjectNode node = JSON.createObjectNode();
    node.put("database", record.database());
    node.put("term", record.term());
    node.put("changing", record.changing());
    node.put("fence", record.fence());
    return node.toString();
  }

  /** Decodes a group's primary; null if the value isn't one. */
  public static @Nullable PrimaryRecord decodePrimary(String key, String value, long revision) {
    @Nullable JsonNode node = parse(value);
    return node == null
        ? null
        : new PrimaryRecord(
            key.substring(PRIMARY.length()),
            node.path("database").asText(),
            node.path("term").asLong(),
            node.path("changing").asBoolean(),
            node.path("fence").asLong(),
            revision);
  }

  /** Encodes the shared lease. */
  public static String encodeSharedLease(long lease) {
    return JSON.createObjectNode().put("lease", lease).toString();
  }

  /** Decodes the shared lease; 0 if the value names none. */
  public static long decodeSharedLease(String value) {
    @Nullable JsonNode node = parse(value);
    return node == null ? 0 : node.path("lease").asLong();
  }

  private static @Nullable JsonNode parse(String value) {
    try {
      JsonNode node = JSON.readTree(value);
      return node != null && node.isObject() ? node : null;
    } catch (JsonProcessingException e) {
      return null;
    }
  }
}
