package org.pollenspar.core.version;

import org.pollenspar.core.process.Host;

/** What the {@link GossipProtocol} wants done; the caller carries it out. */
public sealed interface GossipAction {

  /**
   * Send a digest. The answer goes to {@link GossipProtocol#digestAcknowledged}, a failure to
   * {@link GossipProtocol#peerFailed}.
   *
   * @param to receiver
   * @param digest what to send
   */
  record SendDigest(Host to, GossipDigest digest) implements GossipAction {}

  /**
   * Pull a value. The answer goes to {@link GossipProtocol#valueReceived}, a failure to {@link
   * GossipProtocol#peerFailed}.
   *
   * @param from peer that has a newer one
   * @param kind what to pull
   */
  record Fetch(Host from, GossipValueKind kind) implements GossipAction {}

  /**
   * A newer value is in force.
   *
   * @param value the value
   */
  record Adopted(GossipValue value) implements GossipAction {}

  /** Read both values from the platform once, and report the values and the contact or failure. */
  record ReadPlatform() implements GossipAction {}

  /**
   * Start or stop to watch both values at the platform by long poll.
   *
   * @param active whether this process is a watcher now
   */
  record WatchPlatform(boolean active) implements GossipAction {}
}
