package org.pollenspar.core.version;

/** The values that spread through the fleet. */
public enum SpreadKind {
  CONFIGURATION,
  HOST_LIST
}
