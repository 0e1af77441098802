package org.pollenspar.proxy.request;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.Rank;

/** Counters and response times of the requests that callers send to this proxy. */
public final class EntryMetrics {
  private final MetricRegistry registry;
  private final Counter sessions;
  private final Counter forwarded;
  private final Counter notHome;
  private final Counter peerFailures;

  /** Registers the metrics. */
  public EntryMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.sessions = registry.counter("sessions.opened");
    this.forwarded = registry.counter("requests.forwarded");
    this.notHome = registry.counter("requests.not_home");
    this.peerFailures = registry.counter("peers.failed");
  }

  void sessionOpened() {
    sessions.inc();
  }

  void forwarded() {
    forwarded.inc();
  }

  void notHome() {
    notHome.inc();
  }

  void peerFailed() {
    peerFailures.inc();
  }

  /** Counts a refusal by its error. */
  void refused(ErrorKind kind) {
    registry.counter("refusals." + kind.name().toLowerCase(Locale.ROOT)).inc();
  }

  /** Counts an answered request by outcome and records the time from its arrival to the answer. */
  void answered(Rank rank, Outcome outcome, long nanos) {
    String prefix = "requests.rank" + rank.level() + ".";
    registry.timer("response.rank" + rank.level()).update(nanos, TimeUnit.NANOSECONDS);
    if (outcome instanceof Outcome.Done) {
      registry.counter(prefix + "done").inc();
    } else if (outcome instanceof Outcome.NotRun notRun) {
      registry.counter(prefix + "not_run").inc();
      refused(notRun.error().kind());
    } else if (outcome instanceof Outcome.Unknown unknown) {
      registry.counter(prefix + "unknown").inc();
      refused(unknown.error().kind());
    }
  }
}
