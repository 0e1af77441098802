package org.pollenspar.failover.process;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.Executor;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.net.connection.PeerNetwork;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.net.process.GroupService;
import org.pollenspar.net.process.KeyValueService;

/**
 * Dependencies that all watched groups of one agent share.
 *
 * @param agentId id of this agent in the host list; the platform grants terms to this id
 * @param control the thread on which all policies run
 * @param blocking runs the blocking calls to the platform
 * @param network sends report requests to the home proxies of the groups
 * @param groups the platform's service for fencing and promotion
 * @param keyValues the platform's key-value service, which holds the advisory leases
 * @param timeline records suspicions, fences and promotions for operators
 * @param metrics registry of the agent's counters
 */
record AgentContext(
    String agentId,
    ControlThread control,
    Executor blocking,
    PeerNetwork network,
    GroupService groups,
    KeyValueService keyValues,
    Timeline timeline,
    MetricRegistry metrics) {

  void incrementCounter(String name) {
    metrics.counter("failover." + name).inc();
  }
}
