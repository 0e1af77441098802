package org.pollenspar.proxy.connection;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.net.process.ControlThread;

/**
 * What all homes of a proxy have in common.
 *
 * @param pools what their connections have in common
 * @param policy standard or baseline
 * @param ownDomain failure domain of this proxy
 * @param timeline receives changes of state
 * @param metrics counters and times of requests
 * @param nonces returns a new text on each call; safe for use by several threads
 * @param wallMillis wall clock, for the age of idempotency records only
 */
public record HomeContext(
    PoolContext pools,
    HomePolicy policy,
    String ownDomain,
    Timeline timeline,
    HomeMetrics metrics,
    Supplier<String> nonces,
    LongSupplier wallMillis) {

  ControlThread control() {
    return pools.control();
  }

  InvariantChecker invariants() {
    return pools.invariants();
  }

  AnswerChecker answerChecker() {
    return new AnswerChecker(nonces, invariants());
  }
}
