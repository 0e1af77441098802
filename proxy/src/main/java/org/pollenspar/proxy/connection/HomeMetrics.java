package org.pollenspar.proxy.connection;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.request.Rank;

/** Counters and times of the requests that homes execute. */
public final class HomeMetrics {
  private final MetricRegistry registry;
  private final Counter retries;
  private final Counter readsRoutedAgain;
  private final Timer failoverGap;

  /** Registers the metrics. */
  public HomeMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.retries = registry.counter("requests.retries");
    this.readsRoutedAgain = registry.counter("reads.routed_again");
    this.failoverGap = registry.timer("failover.gap");
  }

  /** Counts an attempt other than the first of a request. */
  void retried() {
    retries.inc();
  }

  /** Counts a read that is routed again because the answer was not fresh enough. */
  void routedAgain() {
    readsRoutedAgain.inc();
  }

  /** Counts a read that was answered. */
  void readServed(DatabaseRole role) {
    registry.counter("reads." + role.wireName()).inc();
  }

  /** Records the time between a request's arrival and its first attempt. */
  void waited(Rank rank, long nanos) {
    registry.timer("wait.rank" + rank.level()).update(nanos, TimeUnit.NANOSECONDS);
  }

  /** Records how long a request held a connection. */
  void served(Rank rank, long nanos) {
    registry.timer("service.rank" + rank.level()).update(nanos, TimeUnit.NANOSECONDS);
  }

  /** Records the time between the last write acknowledged in a term and the first in the next. */
  void failoverGap(long nanos) {
    failoverGap.update(nanos, TimeUnit.NANOSECONDS);
  }
}
