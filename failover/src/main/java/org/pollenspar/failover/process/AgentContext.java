package org.pollenspar.failover.process;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.Executor;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.net.connection.PeerNetwork;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.net.process.GroupService;
import org.pollenspar.net.process.KeyValueService;

/**
 * What all groups watched by one agent share.
 *
 * @param agentId id of this agent in the host list; owner of the terms it is granted
 * @param control owns the policies
 * @param blocking runs calls to the platform
 * @param network asks the homes
 * @param groups the platform's groups
 * @param keyValues holds the advisory leases
 * @param timeline records changes of state
 * @param metrics counters
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
