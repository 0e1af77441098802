package org.pollenspar.load.process;

import java.time.Duration;

/**
 * RunSettings of a run that are not part of the plan.
 *
 * @param seed seed of arrivals and choices
 * @param runId prefix of all rows and keys of this run
 * @param maxInFlight requests without an answer at once; arrivals beyond are not sent
 * @param settleTime time to settle unknown outcomes after the last arrival
 */
public record RunSettings(long seed, String runId, int maxInFlight, Duration settleTime) {}
