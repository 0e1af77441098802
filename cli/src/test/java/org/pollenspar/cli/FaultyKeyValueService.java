package org.pollenspar.cli;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.version.ConfigurationJson;
import org.pollenspar.core.version.ConfigurationVersion;
import org.pollenspar.net.process.KeyValueService;

/**
 * A key-value service with injected faults: it loses requests, loses answers after the write took
 * effect, and delays writes beyond the timeout of their callers. {@link #beforeEachCall} lets a
 * test act as another operator between any two calls.
 */
final class FaultyKeyValueService implements KeyValueService {
  final List<ConfigurationVersion> history = new ArrayList<>();
  private final Random random;
  private final List<Runnable> delayedWrites = new ArrayList<>();
  private StoredValue stored = new StoredValue("", 0);
  double lostRequestProbability;
  double lostAnswerProbability;
  double delayedWriteProbability;
  Runnable beforeEachCall = () -> {};

  FaultyKeyValueService(long seed) {
    this.random = new Random(seed);
  }

  @Override
  public Either<PollensparError, Optional<StoredValue>> read(String key, Duration timeout) {
    beforeEachCall.run();
    applyDelayedWrite();
    if (occurs(lostRequestProbability) || occurs(lostAnswerProbability)) {
      return unavailable();
    }
    return Either.right(stored.revision() == 0 ? Optional.empty() : Optional.of(stored));
  }

  @Override
  public Either<PollensparError, SwapResult> compareAndSwap(
      String key, String value, long expected, Optional<String> leaseId, Duration timeout) {
    beforeEachCall.run();
    applyDelayedWrite();
    if (occurs(lostRequestProbability)) {
      return unavailable();
    }
    if (occurs(delayedWriteProbability)) {
      delayedWrites.add(() -> swap(value, expected));
      return unavailable();
    }
    SwapResult result = swap(value, expected);
    return occurs(lostAnswerProbability) ? unavailable() : Either.right(result);
  }

  void applyDelayedWrite() {
    if (!delayedWrites.isEmpty() && random.nextBoolean()) {
      delayedWrites.remove(0).run();
    }
  }

  private SwapResult swap(String value, long expected) {
    if (stored.revision() != expected) {
      return new SwapResult(false, stored.revision());
    }
    stored = new StoredValue(value, expected + 1 + random.nextInt(3));
    history.add(ConfigurationJson.decode(value).get());
    return new SwapResult(true, stored.revision());
  }

  private boolean occurs(double probability) {
    return random.nextDouble() < probability;
  }

  private static <T> Either<PollensparError, T> unavailable() {
    return Either.left(PollensparError.of(ErrorKind.PLATFORM_UNAVAILABLE, "kv", "no answer"));
  }

  @Override
  public Either<PollensparError, Optional<StoredValue>> watch(
      String key, long afterRevision, Duration wait) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Either<PollensparError, String> createLease(Duration ttl, Duration timeout) {
    throw new UnsupportedOperationException();
  }
}
