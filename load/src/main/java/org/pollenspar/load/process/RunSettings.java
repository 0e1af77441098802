package org.pollenspar.load.process;

import java.time.Duration;

/**
 * Parameters of a run that are not part of its plan.
 *
 * @param seed seed of arrival times and of the choice of sessions, groups and accounts
 * @param runId prefix of all rows and keys of this run
 * @param maxInFlight limit on requests in flight; requests above it are not sent
 * @param settleTime time allowed to settle unknown outcomes after the last arrival
 */
public record RunSettings(long seed, String runId, int maxInFlight, Duration settleTime) {}
