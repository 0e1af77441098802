package org.pollenspar.core.version;

import org.pollenspar.core.process.HostList;

/** A value that spreads through the fleet; a higher version replaces a lower one. */
public sealed interface GossipValue {

  /** Returns what the value is. */
  GossipValueKind kind();

  /** Returns the version, or the revision of a host list. */
  long version();

  /**
   * The applied file.
   *
   * @param value version with its text
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
   * @param value the list
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
