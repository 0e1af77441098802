package org.pollenspar.core.connection;

/**
 * Answer to the heartbeat of a first coordinator.
 *
 * @param follows whether the host is the second coordinator and passes requests on to the sender
 * @param sole whether the host knows of no third one that may still grant operations; otherwise the
 *     sender may use half of the rate only
 * @param epoch number that changes whenever the host begins to grant operations by itself
 */
public record QuotaAcknowledgement(boolean follows, boolean sole, long epoch) {}
