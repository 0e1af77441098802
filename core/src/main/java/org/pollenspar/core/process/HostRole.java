package org.pollenspar.core.process;

/** What runs on a host. */
public enum HostRole {
  PROXY,
  FAILOVER,
  BACKEND_SERVER
}
