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

  /** Creates the metrics in a registry. */
  public HomeMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.retries = registry.counter("requests.retries");
    this.readsRoutedAgain = registry.counter("reads.routed_again");
    this.failoverGap = registry.timer("failover.gap");
  }

  /** Counts an attempt after the first of a request. */
  void retried() {
    retries.inc();
  }

  /** Counts a read whose answer turned out not to be fresh enough. */
  void routedAgain() {
    readsRoutedAgain.inc();
  }

  /** Counts a read that was answered. */
  void readServed(DatabaseRole role) {
    registry.counter("reads." + role.wireName()).inc();
  }

  /** Records the time between arrival and the start of the first attempt. */
  void waited(Rank rank, long nanos) {
    registry.timer("wait.rank" + rank.level()).update(nanos, TimeUnit.NANOSECONDS);
  }

  /** Records the time for which a request held a connection. */
  void served(Rank rank, long nanos) {
    registry.timer("service.rank" + rank.level()).update(nanos, TimeUnit.NANOSECONDS);
  }

  /** Records the time between the last acknowledgement of a term and the first of the next. */
  void failoverGap(long nanos) {
    failoverGap.update(nanos, TimeUnit.NANOSECONDS);
  }
}
