package org.pollenspar.proxy.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.WorkKind;
import org.pollenspar.core.request.WorkRequest;
import org.pollenspar.net.connection.PeerHandler;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.proxy.connection.HomeReport;
import org.pollenspar.proxy.process.GroupHomes;
import org.pollenspar.proxy.process.KindHistory;
import org.pollenspar.wire.DatabaseReport;
import org.pollenspar.wire.Envelope;
import org.pollenspar.wire.GroupReportMessage;
import org.pollenspar.wire.OutcomeCode;
import org.pollenspar.wire.WorkRequestMessage;
import org.pollenspar.wire.WorkResponseMessage;

/**
 * Answers requests of other processes: requests of callers for homes on this proxy, report requests
 * of failover processes, and the messages that distribute the configuration and the host list.
 */
public final class PeerRequestHandler implements PeerHandler {
  /** Age reported for a database that has not answered a probe. */
  private static final int NO_PROBE = -1;

  private final String ownDomain;
  private final ControlThread control;
  private final GroupHomes homes;
  private final KindHistory kinds;
  private final PeerHandler gossip;
  private final Executor replyExecutor;
  private final AtomicInteger running = new AtomicInteger();

  /** Negative, and so distinct from the ids of requests that callers send to this proxy. */
  private final AtomicLong requestIds = new AtomicLong(Long.MIN_VALUE);

  /**
   * Creates the handler.
   *
   * @param kinds kinds of work by configuration version
   * @param gossip answers the messages that distribute configuration and host list: digests and
   *     requests for values
   * @param replyExecutor encodes outcomes, to keep that work off the control thread
   */
  public PeerRequestHandler(
      String ownDomain,
      ControlThread control,
      GroupHomes homes,
      KindHistory kinds,
      PeerHandler gossip,
      Executor replyExecutor) {
    this.ownDomain = ownDomain;
    this.control = control;
    this.homes = homes;
    this.kinds = kinds;
    this.gossip = gossip;
    this.replyExecutor = replyExecutor;
  }

  @Override
  public CompletionStage<Envelope.Builder> handle(Envelope request) {
    return switch (request.getBodyCase()) {
      case WORK_REQUEST -> handleWork(request.getWorkRequest());
      case GROUP_REPORT_REQUEST -> handleReportRequest(request.getGroupReportRequest().getGroup());
      default -> gossip.handle(request);
    };
  }

  private CompletionStage<Envelope.Builder> handleWork(WorkRequestMessage message) {
    Optional<WorkKind> kind = kinds.kind(message.getConfigVersion(), message.getKind());
    if (kind.isEmpty()) {
      return CompletableFuture.completedFuture(notHome(0));
    }
    WorkRequest request =
        PeerMapping.request(message, kind.get(), requestIds.incrementAndGet(), control.nowNanos());
    running.incrementAndGet();
    return control
        .call(() -> homes.submit(request))
        .thenCompose(Function.identity())
        .thenApplyAsync(outcome -> response(outcome, message), replyExecutor)
        .whenComplete((response, failure) -> running.decrementAndGet());
  }

  /** Returns the number of requests of other proxies that are not answered yet. */
  public int running() {
    return running.get();
  }

  private Envelope.Builder response(Optional<Outcome> outcome, WorkRequestMessage message) {
    int length = homes.lastQueueLength(message.getGroup());
    if (outcome.isEmpty()) {
      return notHome(length);
    }
    return Envelope.newBuilder()
        .setWorkResponse(
            PeerMapping.response(outcome.get()).toBuilder()
                .setQueueLength(length)
                .setConfigVersion(message.getConfigVersion()));
  }

  private static Envelope.Builder notHome(int queueLength) {
    return Envelope.newBuilder()
        .setWorkResponse(
            WorkResponseMessage.newBuilder()
                .setOutcome(OutcomeCode.NOT_HOME)
                .setQueueLength(queueLength));
  }

  private CompletionStage<Envelope.Builder> handleReportRequest(String group) {
    return control
        .call(() -> homes.report(group))
        .thenApply(report -> Envelope.newBuilder().setGroupReport(message(group, report)));
  }

  private GroupReportMessage message(String group, Optional<HomeReport> report) {
    GroupReportMessage.Builder message =
        GroupReportMessage.newBuilder()
            .setGroup(group)
            .setDomain(ownDomain)
            .setHome(report.isPresent());
    report.ifPresent(
        known -> known.databases().forEach(database -> message.addDatabases(entry(database))));
    return message.build();
  }

  private static DatabaseReport entry(HomeReport.Database database) {
    DatabaseReport.Builder entry =
        DatabaseReport.newBuilder()
            .setDatabase(database.id())
            .setProbeAgeMillis(
                database.probeAgeNanos().isPresent()
                    ? (int)
                        Math.min(
                            Integer.MAX_VALUE,
                            TimeUnit.NANOSECONDS.toMillis(database.probeAgeNanos().getAsLong()))
                    : NO_PROBE);
    database.state().ifPresent(state -> add(entry, state));
    return entry.build();
  }

  private static void add(DatabaseReport.Builder entry, DatabaseState state) {
    entry
        .setRole(state.role().wireName())
        .setFencedTerm(state.fencedTerm())
        .setLogTerm(state.logTerm())
        .setLogOffset(state.logOffset());
  }
}
