package org.pollenspar.failover.process;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.pollenspar.core.process.FailoverAction;
import org.pollenspar.core.process.FailoverPolicy;
import org.pollenspar.core.process.FailoverPolicy.Answer;
import org.pollenspar.core.process.FailoverPolicy.ReportedDatabase;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.net.connection.PeerAddress;
import org.pollenspar.net.connection.PeerNetwork;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.wire.DatabaseReport;
import org.pollenspar.wire.Envelope;
import org.pollenspar.wire.GroupReportMessage;
import org.pollenspar.wire.GroupReportRequestMessage;

/** One group that this agent watches: polls its homes and carries out the policy's actions. */
final class WatchedGroup {
  private static final Duration REPORT_TIMEOUT = Duration.ofMillis(400);

  private final String group;
  private final PeerNetwork network;
  private final PlatformCalls calls;
  private final ControlThread control;
  private final Timeline timeline;
  private final BiConsumer<String, Answer> counter;
  private final FailoverPolicy policy = new FailoverPolicy();
  private List<Host> homes = List.of();
  private int order;
  private long nextPoll;
  private boolean wasActing;

  /**
   * Creates the watch of a group.
   *
   * @param counter told of each answer of the platform, with the name of the call
   */
  WatchedGroup(
      String group,
      PeerNetwork network,
      PlatformCalls calls,
      ControlThread control,
      Timeline timeline,
      BiConsumer<String, Answer> counter) {
    this.group = group;
    this.network = network;
    this.calls = calls;
    this.control = control;
    this.timeline = timeline;
    this.counter = counter;
    this.nextPoll = control.nowNanos();
  }

  void assign(List<Host> homeProxies, FailoverPolicy.Topology topology) {
    homes = homeProxies;
    order = topology.order();
    policy.topology(topology);
  }

  void tick(long nowNanos) {
    if (nowNanos - nextPoll >= 0) {
      homes.forEach(this::poll);
      nextPoll = nowNanos + TimeUnit.MILLISECONDS.toNanos(policy.pollMillis(nowNanos));
    }
    advance();
  }

  /** Asks the policy for the next action, and carries it out. */
  private void advance() {
    long now = control.nowNanos();
    Optional<FailoverAction> action = policy.tick(now);
    if (policy.acting() != wasActing) {
      wasActing = policy.acting();
      String primary = policy.primary(now).orElse("none");
      event(wasActing ? "primary_suspected" : "primary_trusted", "primary " + primary);
    }
    action.ifPresent(this::perform);
  }

  private void poll(Host home) {
    var body = GroupReportRequestMessage.newBuilder().setGroup(group);
    PeerAddress address = new PeerAddress(home.id(), home.address(), home.peerPort());
    var unused =
        network
            .request(address, Envelope.newBuilder().setGroupReportRequest(body), REPORT_TIMEOUT)
            .thenAccept(
                response -> {
                  if (response.hasGroupReport() && response.getGroupReport().getHome()) {
                    control.execute(() -> reported(home.id(), response.getGroupReport()));
                  }
                });
  }

  private void reported(String homeId, GroupReportMessage report) {
    policy.report(
        homeId,
        report.getDatabasesList().stream().map(WatchedGroup::database).toList(),
        control.nowNanos());
    advance();
  }

  private static ReportedDatabase database(DatabaseReport report) {
    return new ReportedDatabase(
        report.getDatabase(),
        report.getRole().toLowerCase(Locale.ROOT).equals("primary"),
        report.getFencedTerm(),
        report.getLogTerm(),
        Integer.toUnsignedLong(report.getProbeAgeMillis()));
  }

  private void perform(FailoverAction action) {
    if (action instanceof FailoverAction.TakeLease) {
      calls.takeLease(group, a -> onControl(() -> leaseAnswered(action.id(), a)));
    } else if (action instanceof FailoverAction.Fence fence) {
      event("fence_ordered", "term " + fence.term());
      calls.fence(group, fence.term(), a -> onControl(() -> fenceAnswered(fence, a)));
    } else if (action instanceof FailoverAction.Promote promote) {
      event("promotion_ordered", promote.databaseId() + " in term " + promote.term());
      calls.promote(
          group,
          promote.term(),
          promote.databaseId(),
          a -> onControl(() -> promoteAnswered(promote, a)));
    } else {
      calls.readTerm(
          group,
          term -> onControl(() -> policy.termAnswered(action.id(), term, control.nowNanos())));
    }
  }

  private void leaseAnswered(long id, PlatformCalls.CallAnswer answer) {
    answered("lease", answer.answer(), answer.reason());
    policy.leaseAnswered(id, answer.answer(), control.nowNanos());
  }

  private void fenceAnswered(FailoverAction.Fence fence, PlatformCalls.FenceAnswer answer) {
    String detail =
        "term %d, confirmed by %d of the databases %s"
            .formatted(fence.term(), answer.fenced().size(), answer.reason());
    answered("fence", answer.answer(), detail.strip());
    policy.fenceAnswered(fence.id(), answer.answer(), answer.fenced(), control.nowNanos());
  }

  private void promoteAnswered(FailoverAction.Promote promote, PlatformCalls.CallAnswer answer) {
    String detail =
        "%s in term %d %s".formatted(promote.databaseId(), promote.term(), answer.reason());
    answered("promotion", answer.answer(), detail.strip());
    policy.promoteAnswered(promote.id(), answer.answer(), control.nowNanos());
  }

  private void answered(String call, Answer answer, String detail) {
    counter.accept(call, answer);
    event(call + "_" + answer.name().toLowerCase(Locale.ROOT), detail);
  }

  /** Runs a task on the control thread and goes on with the next action at once. */
  private void onControl(Runnable task) {
    control.execute(
        () -> {
          task.run();
          advance();
        });
  }

  private void event(String kind, String detail) {
    timeline.record(kind, group, detail);
  }

  ObjectNode status() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("group", group)
        .put("order", order)
        .put("primary", policy.primary(control.nowNanos()).orElse(null))
        .put("acting", policy.acting());
  }
}
