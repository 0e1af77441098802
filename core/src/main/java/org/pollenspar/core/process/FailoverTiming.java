package org.pollenspar.core.process;

/**
 * Time limits of a failover, all in nanoseconds.
 *
 * @param suspicionNanos a primary without a successful probe for this long is suspected
 * @param reportMaxAgeNanos older reports of homes are ignored
 * @param orderDelayNanos delay per place in the order of agents, so that the first one acts alone
 * @param retryNanos pause after a step that failed
 * @param settleNanos pause after a promotion, in which the homes learn of the new primary
 * @param maxLeavingPauseNanos longest pause between attempts to replace a leaving primary that no
 *     other database can replace yet
 */
public record FailoverTiming(
    long suspicionNanos,
    long reportMaxAgeNanos,
    long orderDelayNanos,
    long retryNanos,
    long settleNanos,
    long maxLeavingPauseNanos) {
  private static final long MILLI = 1_000_000L;

  /** The limits of the design document; they keep a failover by the third agent below 10 s. */
  public static final FailoverTiming STANDARD =
      new FailoverTiming(
          800 * MILLI, 1500 * MILLI, 1000 * MILLI, 200 * MILLI, 1000 * MILLI, 30_000 * MILLI);
}
