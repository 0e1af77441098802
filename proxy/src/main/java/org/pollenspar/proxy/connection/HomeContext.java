package org.pollenspar.proxy.connection;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.net.process.ControlThread;

/**
 * Settings and services that all homes of a proxy share.
 *
 * @param pools settings and services of their connections
 * @param policy standard or baseline
 * @param ownDomain failure domain of this proxy
 * @param timeline records changes of state
 * @param metrics counters and times of requests
 * @param nonces returns a new nonce on each call; safe for use by several threads
 * @param wallMillis wall clock in milliseconds, for the age of idempotency records only
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
