package org.pollenspar.core.version;

/**
 * The versions that a process holds and whether it is shutting down, as sent in each exchange.
 *
 * @param configVersion version of its configuration; 0 if it has none
 * @param hostListRevision revision of its host list; 0 if it has none
 * @param leaving whether it is shutting down
 */
public record GossipDigest(long configVersion, long hostListRevision, boolean leaving) {

  public long version(GossipValueKind kind) {
    return switch (kind) {
      case CONFIGURATION -> configVersion;
      case HOST_LIST -> hostListRevision;
    };
  }
}
