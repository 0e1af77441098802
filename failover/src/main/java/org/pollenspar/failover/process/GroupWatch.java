package org.pollenspar.failover.process;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.process.FailoverAction;
import org.pollenspar.core.process.FailoverPolicy;
import org.pollenspar.core.process.FailoverTiming;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.ObservedDatabase;
import org.pollenspar.core.process.VantageReport;
import org.pollenspar.net.connection.PeerAddress;
import org.pollenspar.wire.DatabaseReport;
import org.pollenspar.wire.Envelope;
import org.pollenspar.wire.GroupReportMessage;
import org.pollenspar.wire.GroupReportRequestMessage;

/**
 * Watches one group: requests reports from its home proxies, passes them to the {@link
 * FailoverPolicy} and carries out the actions that the policy returns.
 *
 * <p>Confined to the control thread. The result of each action goes back to the policy, which
 * returns the next action; the policy starts no other action in between.
 */
final class GroupWatch {
  /**
   * The first agent detects a failed primary and needs fresh reports; the other agents only need to
   * detect that the first does not act.
   */
  private static final long FIRST_AGENT_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

  private static final long OTHER_AGENT_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
  private static final Duration REPORT_TIMEOUT = Duration.ofMillis(500);

  private final String group;
  private final AgentContext context;
  private final FailoverPolicy policy;
  private final FailoverSteps steps;
  private List<Host> homes = List.of();
  private long pollIntervalNanos = FIRST_AGENT_INTERVAL_NANOS;
  private long nextPollNanos;
  private int place;
  private boolean suspicionRecorded;

  GroupWatch(String group, int groupSize, AgentContext context) {
    this.group = group;
    this.context = context;
    long now = context.control().nowNanos();
    this.policy = new FailoverPolicy(groupSize, FailoverTiming.STANDARD, now);
    this.steps = new FailoverSteps(group, context);
    this.nextPollNanos = now;
  }

  /** Applies the assignment that this agent computed from the current host list. */
  void assign(int newPlace, List<Host> newHomes, Set<String> leavingDatabases) {
    place = newPlace;
    homes = newHomes;
    pollIntervalNanos = newPlace == 0 ? FIRST_AGENT_INTERVAL_NANOS : OTHER_AGENT_INTERVAL_NANOS;
    policy.place(newPlace);
    policy.homes(newHomes);
    policy.leaving(leavingDatabases);
  }

  int place() {
    return place;
  }

  String suspicion() {
    return policy.cause().map(cause -> cause + " " + policy.suspect().orElse("")).orElse("");
  }

  /** Requests reports if the poll interval has passed, and starts the policy's next action. */
  void tick(long nowNanos) {
    if (nowNanos - nextPollNanos >= 0) {
      nextPollNanos = nowNanos + pollIntervalNanos;
      homes.forEach(this::requestReport);
    }
    perform(policy.tick(nowNanos));
    recordSuspicion();
  }

  @SuppressWarnings("FutureReturnValueIgnored") // whenCompleteAsync counts failures
  private void requestReport(Host home) {
    context.incrementCounter("report_requests");
    Envelope.Builder request =
        Envelope.newBuilder()
            .setGroupReportRequest(GroupReportRequestMessage.newBuilder().setGroup(group));
    PeerAddress address = new PeerAddress(home.id(), home.address(), home.peerPort());
    context
        .network()
        .request(address, request, REPORT_TIMEOUT)
        .whenCompleteAsync(
            (answer, failure) -> {
              if (failure == null && answer.getGroupReport().getHome()) {
                policy.reported(
                    report(home, answer.getGroupReport()), context.control().nowNanos());
              } else {
                context.incrementCounter("report_failures");
              }
            },
            context.control());
  }

  private static VantageReport report(Host home, GroupReportMessage message) {
    List<ObservedDatabase> databases =
        message.getDatabasesList().stream().map(GroupWatch::observed).toList();
    return new VantageReport(home.id(), home.domain(), databases);
  }

  private static ObservedDatabase observed(DatabaseReport report) {
    DatabaseState state =
        new DatabaseState(
            report.getDatabase(),
            DatabaseRole.ofWireName(report.getRole()),
            report.getFencedTerm(),
            report.getLogTerm(),
            report.getLogOffset(),
            0);
    long ageMillis = Integer.toUnsignedLong(report.getProbeAgeMillis());
    return new ObservedDatabase(state, Duration.ofMillis(ageMillis).toNanos());
  }

  private void recordSuspicion() {
    boolean suspects = policy.cause().isPresent();
    if (suspects && !suspicionRecorded) {
      context.incrementCounter("suspicions");
      context.timeline().record("primary_suspected", group, suspicion());
    } else if (!suspects && suspicionRecorded) {
      context.timeline().record("suspicion_ended", group, "");
    }
    suspicionRecorded = suspects;
  }

  private void perform(FailoverAction action) {
    if (action instanceof FailoverAction.ReadSummary) {
      steps.readSummary(summary -> perform(policy.summaryRead(summary, now())));
    } else if (action instanceof FailoverAction.TakeLease) {
      steps.acquireLease(answer -> perform(policy.leaseAnswered(answer, now())));
    } else if (action instanceof FailoverAction.Fence fence) {
      steps.fence(fence.term(), fenced -> perform(policy.fenced(fenced, now())));
    } else if (action instanceof FailoverAction.Promote promote) {
      steps.promote(
          promote.term(),
          promote.databaseId(),
          granted -> perform(policy.promoted(granted, now())));
    }
  }

  private long now() {
    return context.control().nowNanos();
  }
}
