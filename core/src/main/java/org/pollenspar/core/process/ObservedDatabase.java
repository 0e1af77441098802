package org.pollenspar.core.process;

import org.pollenspar.core.connection.DatabaseState;

/**
 * A database as one home proxy sees it.
 *
 * @param state its last answer to a probe
 * @param probeAgeNanos time between the sending of that probe and the report of the home
 */
public record ObservedDatabase(DatabaseState state, long probeAgeNanos) {}
