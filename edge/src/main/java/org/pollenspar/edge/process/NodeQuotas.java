package org.pollenspar.edge.process;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.QuotaClient;
import org.pollenspar.core.connection.QuotaCoordinators;
import org.pollenspar.core.connection.QuotaExecutor;
import org.pollenspar.core.connection.QuotaSelection;
import org.pollenspar.core.connection.QuotaService;
import org.pollenspar.core.connection.StatementExecutor;
import org.pollenspar.core.process.FleetTable;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.version.RouteTable;

/** Wires the limits on the rates of organisations on one host. */
final class NodeQuotas {
  private final QuotaCoordinators coordinators;
  private final QuotaClient client;
  private final QuotaSelection selection;

  NodeQuotas(
      NodeDependencies dependencies,
      FleetTable table,
      Supplier<RouteTable> routes,
      BooleanSupplier confirmed) {
    String self = dependencies.self().name();
    this.selection = new QuotaSelection(table::members);
    this.coordinators =
        new QuotaCoordinators(
            self,
            selection,
            routes,
            confirmed,
            dependencies.quotaMessages(),
            dependencies.clocks(),
            dependencies.timers(),
            dependencies.log());
    this.client =
        new QuotaClient(
            self,
            selection,
            coordinators,
            dependencies.quotaMessages(),
            dependencies.quotaWindow().uncoordinated(),
            dependencies.clocks(),
            dependencies.timers(),
            dependencies.log());
    registerGauges(dependencies.metrics());
  }

  /** Returns what runs statements of a group; those of callers need the grants of the limits. */
  Function<String, @Nullable StatementExecutor> executors(
      DecisionLog.Origin origin, HomeAssigner homes) {
    if (origin != DecisionLog.Origin.CALLER) {
      // The host that forwards a statement has asked for its grant.
      return homes::executor;
    }
    return group -> {
      @Nullable StatementExecutor executor = homes.executor(group);
      return executor == null ? null : new QuotaExecutor(executor, client);
    };
  }

  /** Returns the hosts that coordinate an organisation's rate, the first one first. */
  List<Member> coordinators(String organisation) {
    return selection.coordinators(organisation);
  }

  void configurationChanged() {
    coordinators.assign();
  }

  void membersChanged() {
    coordinators.membersChanged();
  }

  QuotaService service() {
    return coordinators;
  }

  private void registerGauges(EdgeMetrics metrics) {
    metrics.gauge("quota_granted", client::grants);
    metrics.gauge("quota_refused", client::refusals);
    metrics.gauge("quota_granted_alone", client::ownGrants);
    metrics.gauge("quota_first_coordinator_of", coordinators::firstOf);
    metrics.gauge("quota_second_coordinator_of", coordinators::secondOf);
  }
}
