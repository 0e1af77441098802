package org.pollenspar.core.version;

import java.util.List;

/**
 * The value under the platform's configuration key.
 *
 * @param version grows by one with each accepted file
 * @param applyId random id of the apply that wrote it
 * @param author who applied it
 * @param sha256 hash of the text, in hexadecimal
 * @param text the TOML file
 * @param recent the last applies, newest first, to settle an apply whose answer was lost
 */
public record ConfigurationVersion(
    long version,
    String applyId,
    String author,
    String sha256,
    String text,
    List<RecentApply> recent) {

  /** Applies kept in {@link #recent}. */
  public static final int RECENT_LIMIT = 16;

  /** Copies the list. */
  public ConfigurationVersion {
    recent = List.copyOf(recent);
  }

  /**
   * An accepted apply.
   *
   * @param version version that it made
   * @param applyId its id
   */
  public record RecentApply(long version, String applyId) {}
}
