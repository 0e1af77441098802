package org.pollenspar.core.version;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * One version of the configuration, as stored under the platform's configuration key.
 *
 * @param version number that grows by one with each accepted file
 * @param applyId random id of the apply operation that wrote it
 * @param author name of the operator who applied it
 * @param sha256 SHA-256 hash of the text, in hexadecimal
 * @param text the fleet file in TOML
 * @param recent the latest apply operations, newest first; they show whether an apply whose answer
 *     was lost took effect
 */
public record ConfigurationVersion(
    long version,
    String applyId,
    String author,
    String sha256,
    String text,
    List<RecentApply> recent) {

  /** Maximum number of entries in {@link #recent}. */
  public static final int RECENT_LIMIT = 16;

  public ConfigurationVersion {
    recent = List.copyOf(recent);
  }

  /** Returns the version that follows {@code base}, or the first version if there is none. */
  public static ConfigurationVersion successor(
      Optional<ConfigurationVersion> base, String applyId, String author, String text) {
    long version = base.map(ConfigurationVersion::version).orElse(0L) + 1;
    List<RecentApply> recent =
        Stream.concat(
                Stream.of(new RecentApply(version, applyId)),
                base.stream().flatMap(b -> b.recent().stream()))
            .limit(RECENT_LIMIT)
            .toList();
    return new ConfigurationVersion(version, applyId, author, hash(text), text, recent);
  }

  /** Returns the SHA-256 of a text, in hexadecimal. */
  public static String hash(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("This Java runtime does not provide SHA-256.", e);
    }
  }

  /** Returns the version that an apply operation created, if it is among the recent ones. */
  public Optional<Long> versionOfApply(String id) {
    return recent.stream()
        .filter(apply -> apply.applyId().equals(id))
        .map(RecentApply::version)
        .findFirst();
  }

  /**
   * An apply operation that took effect.
   *
   * @param version version that it created
   * @param applyId random id of the operation
   */
  public record RecentApply(long version, String applyId) {}
}
