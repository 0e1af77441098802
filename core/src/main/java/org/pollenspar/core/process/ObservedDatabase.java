package org.pollenspar.core.process;

import org.pollenspar.core.connection.DatabaseState;

/**
 * A database as one home proxy sees it.
 *
 * @param state its last answer to a probe
 * @param probeAgeNanos time since the sending of that probe, when the home reported
 */
public record ObservedDatabase(DatabaseState state, long probeAgeNanos) {}
