package org.pollenspar.core.version;

/**
 * What a process says of itself in each exchange.
 *
 * @param configVersion its configuration version; 0 if it has none
 * @param hostListRevision revision of its host list; 0 if it has none
 * @param leaving whether it is shutting down
 */
public record GossipDigest(long configVersion, long hostListRevision, boolean leaving) {

  /** Returns the version of one kind of value. */
  public long version(GossipValueKind kind) {
    return switch (kind) {
      case CONFIGURATION -> configVersion;
      case HOST_LIST -> hostListRevision;
    };
  }
}
