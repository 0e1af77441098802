package org.pollenspar.net.version;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.version.ConfigurationJson;
import org.pollenspar.core.version.GossipValueKind;
import org.pollenspar.net.process.HostDirectory;
import org.pollenspar.net.process.KeyValueService;

/**
 * Reads the configuration and the host list from the platform, once or by continuous long polling.
 * The calls block and run on threads of this class, which also report the results.
 */
final class PlatformReader implements AutoCloseable {
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration WATCH_WAIT = Duration.ofSeconds(10);

  /**
   * Pause before the next poll if one failed, or found no value, in less than this time; a poll for
   * a missing key, for example, returns at once.
   */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

  private final KeyValueService keyValues;
  private final HostDirectory directory;
  private final Receiver receiver;
  private final ExecutorService threads;
  private final AtomicBoolean reading = new AtomicBoolean();

  /** Number of the latest change of {@link #watch}; loops with an older number end. */
  private final AtomicLong watchNumber = new AtomicLong();

  PlatformReader(KeyValueService keyValues, HostDirectory directory, Receiver receiver) {
    this.keyValues = keyValues;
    this.directory = directory;
    this.receiver = receiver;
    this.threads =
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "fleet-platform");
              thread.setDaemon(true);
              return thread;
            });
  }

  /** Receives the results of reads; called on the reader's threads. */
  interface Receiver {
    void valueRead(DecodedValue value);

    /** The platform answered without a new value. */
    void answeredWithoutValue(GossipValueKind kind);

    /** The platform did not answer, or its value cannot be used. */
    void readFailed(GossipValueKind kind, PollensparError error);
  }

  /** Reads both values once; does nothing while an earlier read is running. */
  void readOnce() {
    if (reading.compareAndSet(false, true)) {
      run(
          () -> {
            try {
              report(
                  GossipValueKind.HOST_LIST,
                  directory.watch(0, Duration.ZERO).map(list -> list.map(DecodedValue::hosts)));
              report(
                  GossipValueKind.CONFIGURATION,
                  keyValues
                      .read(ConfigurationJson.KEY, READ_TIMEOUT)
                      .flatMap(this::decodeConfiguration));
            } finally {
              reading.set(false);
            }
          });
    }
  }

  /** Starts or stops the long polls; a poll that is under way is not interrupted. */
  void watch(boolean active) {
    long number = watchNumber.incrementAndGet();
    if (active) {
      run(() -> watchConfiguration(number));
      run(() -> watchHosts(number));
    }
  }

  private void watchConfiguration(long number) {
    AtomicLong revision = new AtomicLong();
    watch(
        GossipValueKind.CONFIGURATION,
        number,
        () ->
            keyValues
                .watch(ConfigurationJson.KEY, revision.get(), WATCH_WAIT)
                .peek(stored -> stored.ifPresent(s -> revision.set(s.revision())))
                .flatMap(this::decodeConfiguration));
  }

  private void watchHosts(long number) {
    AtomicLong revision = new AtomicLong();
    watch(
        GossipValueKind.HOST_LIST,
        number,
        () ->
            directory
                .watch(revision.get(), WATCH_WAIT)
                .peek(list -> list.map(HostList::revision).ifPresent(revision::set))
                .map(list -> list.map(DecodedValue::hosts)));
  }

  private void watch(
      GossipValueKind kind,
      long number,
      Supplier<Either<PollensparError, Optional<DecodedValue>>> poll) {
    while (watchNumber.get() == number && !Thread.currentThread().isInterrupted()) {
      long start = System.nanoTime();
      Either<PollensparError, Optional<DecodedValue>> answer = poll.get();
      report(kind, answer);
      boolean empty = answer.isLeft() || answer.get().isEmpty();
      if (empty && System.nanoTime() - start < RETRY_PAUSE.toNanos()) {
        pause();
      }
    }
  }

  private Either<PollensparError, Optional<DecodedValue>> decodeConfiguration(
      Optional<KeyValueService.StoredValue> stored) {
    return stored.isEmpty()
        ? Either.right(Optional.empty())
        : DecodedValue.decode(GossipValueKind.CONFIGURATION, stored.get().value())
            .map(Optional::of);
  }

  private void report(
      GossipValueKind kind, Either<PollensparError, Optional<DecodedValue>> answer) {
    answer
        .peekLeft(error -> receiver.readFailed(kind, error))
        .peek(
            value ->
                value.ifPresentOrElse(
                    receiver::valueRead, () -> receiver.answeredWithoutValue(kind)));
  }

  private static void pause() {
    try {
      Thread.sleep(RETRY_PAUSE.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Runs a task on one of the reader's threads; does nothing after {@link #close}. */
  void run(Runnable task) {
    try {
      threads.execute(task);
    } catch (RejectedExecutionException e) {
      watchNumber.incrementAndGet();
    }
  }

  @Override
  public void close() {
    watchNumber.incrementAndGet();
    threads.shutdownNow();
  }
}
