package org.pollenspar.core.version;

/** The kinds of values that {@link GossipProtocol} distributes. */
public enum GossipValueKind {
  CONFIGURATION,
  HOST_LIST
}
