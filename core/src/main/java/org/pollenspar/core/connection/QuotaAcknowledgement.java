package org.pollenspar.core.connection;

/**
 * Answer to the heartbeat of a first coordinator.
 *
 * @param follows whether the host is the second coordinator and passes requests on to the sender
 * @param sole whether the host knows of no third one that may still grant operations; otherwise the
 *     sender may use half of the rate only
 * @param epoch number that changes whenever the host begins to grant operations by itself; {@link
 *     #NO_EPOCH} if it has no budget of the organisation and grants nothing
 */
public record QuotaAcknowledgement(boolean follows, boolean sole, long epoch) {
  /** Epoch of a host without a budget of the organisation. */
  static final long NO_EPOCH = 0;
}
