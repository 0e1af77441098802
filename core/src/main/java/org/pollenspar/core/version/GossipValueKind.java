package org.pollenspar.core.version;

/** The values that spread through the fleet. */
public enum GossipValueKind {
  CONFIGURATION,
  HOST_LIST
}
