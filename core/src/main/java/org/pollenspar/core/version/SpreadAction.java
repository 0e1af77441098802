package org.pollenspar.core.version;

import org.pollenspar.core.process.Host;

/** What the {@link Spreader} wants done; the caller carries it out. */
public sealed interface SpreadAction {

  /**
   * Send a digest. The answer goes to {@link Spreader#digestAcknowledged}, a failure to {@link
   * Spreader#peerFailed}.
   *
   * @param to receiver
   * @param digest what to send
   */
  record SendDigest(Host to, SpreadDigest digest) implements SpreadAction {}

  /**
   * Pull a value. The answer goes to {@link Spreader#valueReceived}, a failure to {@link
   * Spreader#peerFailed}.
   *
   * @param from peer that has a newer one
   * @param kind what to pull
   */
  record Fetch(Host from, SpreadKind kind) implements SpreadAction {}

  /**
   * A newer value is in force.
   *
   * @param value the value
   */
  record Adopted(SpreadValue value) implements SpreadAction {}

  /** Read both values from the platform once, and report the values and the contact or failure. */
  record AskPlatform() implements SpreadAction {}

  /**
   * Start or stop to watch both values at the platform by long poll.
   *
   * @param active whether this process is a watcher now
   */
  record WatchPlatform(boolean active) implements SpreadAction {}
}
