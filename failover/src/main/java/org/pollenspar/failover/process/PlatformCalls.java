package org.pollenspar.failover.process;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.FailoverPolicy.Answer;
import org.pollenspar.core.process.FailoverPolicy.FencedDatabase;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.net.process.GroupService;
import org.pollenspar.net.process.KeyValueService;

/**
 * Blocking calls to the platform on threads of their own, with answers as the policy takes them.
 */
final class PlatformCalls implements AutoCloseable {
  private static final Duration LEASE_TTL = Duration.ofSeconds(2);
  private static final Duration LEASE_TIMEOUT = Duration.ofMillis(300);
  private static final Duration GROUP_TIMEOUT = Duration.ofSeconds(1);
  private static final String LEASE_PREFIX = "pollenspar/failover/";

  /** More groups than this are not replaced at once; further calls count as not answered. */
  private static final int MAX_THREADS = 32;

  private final String owner;
  private final KeyValueService keyValues;
  private final GroupService groups;
  private final ThreadPoolExecutor threads;

  PlatformCalls(String owner, KeyValueService keyValues, GroupService groups) {
    this.owner = owner;
    this.keyValues = keyValues;
    this.groups = groups;
    AtomicInteger number = new AtomicInteger();
    this.threads =
        new ThreadPoolExecutor(
            0,
            MAX_THREADS,
            10,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            task -> {
              Thread thread = new Thread(task, "platform-" + number.incrementAndGet());
              thread.setDaemon(true);
              return thread;
            });
  }

  /**
   * The platform's answer to a fence.
   *
   * @param answer how the call ended
   * @param fenced databases that confirmed
   * @param reason why it was not granted; empty if it was
   */
  record FenceAnswer(Answer answer, List<FencedDatabase> fenced, String reason) {}

  /**
   * The platform's answer to a lease or a promotion.
   *
   * @param answer how the call ended
   * @param reason why it was not granted; empty if it was
   */
  record CallAnswer(Answer answer, String reason) {}

  void takeLease(String group, Consumer<CallAnswer> then) {
    run(() -> lease(LEASE_PREFIX + group), new CallAnswer(Answer.UNKNOWN, "busy"), then);
  }

  private CallAnswer lease(String key) {
    Either<PollensparError, CallAnswer> answer =
        keyValues
            .createLease(LEASE_TTL, LEASE_TIMEOUT)
            .flatMap(id -> keyValues.compareAndSwap(key, owner, 0, Optional.of(id), LEASE_TIMEOUT))
            .flatMap(
                swap ->
                    swap.applied()
                        ? Either.right(new CallAnswer(Answer.GRANTED, ""))
                        : keyValues.read(key, LEASE_TIMEOUT).map(this::heldByOther));
    return answer.getOrElseGet(error -> new CallAnswer(Answer.UNKNOWN, error.message()));
  }

  private CallAnswer heldByOther(Optional<KeyValueService.StoredValue> holder) {
    String name = holder.map(KeyValueService.StoredValue::value).orElse(owner);
    return name.equals(owner)
        ? new CallAnswer(Answer.GRANTED, "")
        : new CallAnswer(Answer.REFUSED, "held by " + name);
  }

  void fence(String group, long term, Consumer<FenceAnswer> then) {
    run(
        () ->
            groups
                .fence(group, term, owner, GROUP_TIMEOUT)
                .fold(
                    error -> new FenceAnswer(answer(error), List.of(), error.message()),
                    members ->
                        new FenceAnswer(
                            Answer.GRANTED,
                            members.stream().map(PlatformCalls::fenced).toList(),
                            "")),
        new FenceAnswer(Answer.UNKNOWN, List.of(), "busy"),
        then);
  }

  private static FencedDatabase fenced(GroupService.MemberStatus member) {
    return new FencedDatabase(member.id(), member.fencedTerm(), member.logTerm(), member.offset());
  }

  void promote(String group, long term, String database, Consumer<CallAnswer> then) {
    run(
        () ->
            groups
                .promote(group, term, owner, database, GROUP_TIMEOUT)
                .fold(
                    error -> new CallAnswer(answer(error), error.message()),
                    done -> new CallAnswer(Answer.GRANTED, "")),
        new CallAnswer(Answer.UNKNOWN, "busy"),
        then);
  }

  void readTerm(String group, Consumer<OptionalLong> then) {
    run(
        () ->
            groups
                .status(group, GROUP_TIMEOUT)
                .fold(error -> OptionalLong.empty(), status -> OptionalLong.of(status.term())),
        OptionalLong.empty(),
        then);
  }

  private static Answer answer(PollensparError error) {
    return error.kind() == ErrorKind.PLATFORM_REFUSED ? Answer.REFUSED : Answer.UNKNOWN;
  }

  private <T> void run(Supplier<T> call, T notRun, Consumer<T> then) {
    try {
      threads.execute(
          () -> {
            T result = notRun;
            try {
              result = call.get();
            } finally {
              then.accept(result);
            }
          });
    } catch (RejectedExecutionException busy) {
      then.accept(notRun);
    }
  }

  @Override
  public void close() {
    threads.shutdownNow();
  }
}
