package org.pollenspar.core.version;

import org.pollenspar.core.process.Host;

/** An action that {@link GossipProtocol} returns and its caller carries out. */
public sealed interface GossipAction {

  /**
   * Send a digest. Pass the answer to {@link GossipProtocol#digestAcknowledged}, a failure to
   * {@link GossipProtocol#peerFailed}.
   *
   * @param to receiver
   * @param digest digest of this process
   */
  record SendDigest(Host to, GossipDigest digest) implements GossipAction {}

  /**
   * Fetch a value. Pass the answer to {@link GossipProtocol#valueReceived}, a failure to {@link
   * GossipProtocol#peerFailed}.
   *
   * @param from peer that has a newer value
   * @param kind kind of the value
   */
  record Fetch(Host from, GossipValueKind kind) implements GossipAction {}

  /**
   * A newer value was adopted; put it into force.
   *
   * @param value the value
   */
  record Adopted(GossipValue value) implements GossipAction {}

  /**
   * Read both values from the platform once. Pass them to {@link
   * GossipProtocol#platformValueReceived}; if the platform answers without a new value, call {@link
   * GossipProtocol#platformAnswered}.
   */
  record ReadPlatform() implements GossipAction {}

  /**
   * Start or stop watching both values at the platform by long poll.
   *
   * @param active whether this process is a watcher now
   */
  record WatchPlatform(boolean active) implements GossipAction {}
}
