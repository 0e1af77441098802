package org.pollenspar.failover.process;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.GroupSummary;
import org.pollenspar.core.process.LeaseAnswer;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.net.process.GroupService;
import org.pollenspar.net.process.KeyValueService;

/**
 * The calls to the platform of which a failover of one group consists.
 *
 * <p>Each call runs on a thread for blocking calls and passes its result to a callback on the
 * control thread. A call that fails yields the result that stands for no answer (an empty value, an
 * empty list, false, or {@link LeaseAnswer#UNAVAILABLE}), so the policy always receives a result.
 */
final class FailoverSteps {
  private static final Duration SUMMARY_TIMEOUT = Duration.ofMillis(500);
  private static final Duration FENCE_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration PROMOTE_TIMEOUT = Duration.ofSeconds(1);

  /** Limits the delay that an outage of the key-value service adds to a failover. */
  private static final Duration LEASE_TIMEOUT = Duration.ofMillis(300);

  private static final Duration LEASE_TTL = Duration.ofSeconds(3);

  private final String group;
  private final AgentContext context;

  FailoverSteps(String group, AgentContext context) {
    this.group = group;
    this.context = context;
  }

  void readSummary(Consumer<Optional<GroupSummary>> onAnswer) {
    callBlocking(
        () ->
            context
                .groups()
                .status(group, SUMMARY_TIMEOUT)
                .map(FailoverSteps::summary)
                .toJavaOptional(),
        Optional.empty(),
        onAnswer);
  }

  private static GroupSummary summary(GroupService.GroupStatus status) {
    Set<String> unreachable =
        status.databases().stream()
            .filter(member -> !member.reachable())
            .map(GroupService.GroupDatabaseStatus::id)
            .collect(Collectors.toSet());
    return new GroupSummary(status.term(), status.primary(), unreachable);
  }

  /**
   * Requests the advisory lease of the group. The timeout bounds the whole request, not only each
   * of its two calls.
   */
  @SuppressWarnings("FutureReturnValueIgnored") // exceptionally() turns failures into an answer
  void acquireLease(Consumer<LeaseAnswer> onAnswer) {
    CompletableFuture<LeaseAnswer> lease =
        CompletableFuture.supplyAsync(this::requestLease, context.blocking());
    lease
        .completeOnTimeout(LeaseAnswer.UNAVAILABLE, LEASE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .exceptionally(failure -> LeaseAnswer.UNAVAILABLE)
        .thenAcceptAsync(
            leaseAnswer -> {
              context.timeline().record("failover_lease", group, leaseAnswer.name());
              onAnswer.accept(leaseAnswer);
            },
            context.control());
  }

  private LeaseAnswer requestLease() {
    KeyValueService keyValues = context.keyValues();
    Either<PollensparError, KeyValueService.SwapResult> swap =
        keyValues
            .createLease(LEASE_TTL, LEASE_TIMEOUT)
            .flatMap(
                lease ->
                    keyValues.compareAndSwap(
                        "pollenspar/failover/" + group,
                        context.agentId(),
                        0,
                        Optional.of(lease),
                        LEASE_TIMEOUT));
    return swap.fold(
        error -> LeaseAnswer.UNAVAILABLE,
        result -> result.applied() ? LeaseAnswer.GRANTED : LeaseAnswer.HELD_BY_OTHER);
  }

  /** Records the order before the call, so that the timeline shows it before its effects. */
  void fence(long term, Consumer<List<DatabaseState>> onAnswer) {
    context.timeline().record("fence_ordered", group, "term " + term);
    this.<List<DatabaseState>>callBlocking(
        () -> {
          var fenced = context.groups().fence(group, term, context.agentId(), FENCE_TIMEOUT);
          fenced.peekLeft(error -> recordFailure("fence_refused", term, error));
          return fenced.fold(error -> List.<DatabaseState>of(), FailoverSteps::states);
        },
        List.of(),
        states -> {
          context.incrementCounter("fences");
          context
              .timeline()
              .record("group_fenced", group, "term " + term + ", databases " + ids(states));
          onAnswer.accept(states);
        });
  }

  private static List<DatabaseState> states(List<GroupService.GroupDatabaseStatus> members) {
    return members.stream()
        .map(
            member ->
                new DatabaseState(
                    member.id(),
                    DatabaseRole.REPLICA,
                    member.fencedTerm(),
                    member.logTerm(),
                    member.offset(),
                    0))
        .toList();
  }

  private static List<String> ids(List<DatabaseState> states) {
    return states.stream().map(DatabaseState::databaseId).toList();
  }

  /**
   * Records the order before the call, because the homes often see the new primary before the
   * answer of the platform arrives.
   */
  void promote(long term, String databaseId, Consumer<Boolean> onAnswer) {
    context.timeline().record("promotion_ordered", group, databaseId + " in term " + term);
    callBlocking(
        () -> {
          var promoted =
              context.groups().promote(group, term, context.agentId(), databaseId, PROMOTE_TIMEOUT);
          promoted.peekLeft(error -> recordFailure("promotion_refused", term, error));
          return promoted.getOrElse(false);
        },
        false,
        granted -> {
          if (granted) {
            context.incrementCounter("promotions");
            context.timeline().record("primary_promoted", group, databaseId + " in term " + term);
          }
          onAnswer.accept(granted);
        });
  }

  private void recordFailure(String event, long term, PollensparError error) {
    context.incrementCounter(
        error.kind() == ErrorKind.PLATFORM_REFUSED ? "refusals" : "platform_failures");
    context.timeline().record(event, group, "term " + term + ": " + error.message());
  }

  @SuppressWarnings("FutureReturnValueIgnored") // exceptionally() turns failures into a result
  private <T> void callBlocking(Supplier<T> call, T onFailure, Consumer<T> onAnswer) {
    CompletableFuture.supplyAsync(call, context.blocking())
        .exceptionally(failure -> onFailure)
        .thenAcceptAsync(onAnswer, context.control());
  }
}
