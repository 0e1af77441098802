package org.pollenspar.core.version;

import org.pollenspar.core.process.HostList;

/** A value that {@link GossipProtocol} distributes; a higher version replaces a lower one. */
public sealed interface GossipValue {

  GossipValueKind kind();

  /** Returns the version; for a host list, its revision. */
  long version();

  /**
   * The configuration.
   *
   * @param value configuration version with its text
   */
  record Configuration(ConfigurationVersion value) implements GossipValue {
    @Override
    public GossipValueKind kind() {
      return GossipValueKind.CONFIGURATION;
    }

    @Override
    public long version() {
      return value.version();
    }
  }

  /**
   * The platform's host list.
   *
   * @param value host list with its revision
   */
  record Hosts(HostList value) implements GossipValue {
    @Override
    public GossipValueKind kind() {
      return GossipValueKind.HOST_LIST;
    }

    @Override
    public long version() {
      return value.revision();
    }
  }
}
