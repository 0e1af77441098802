package org.pollenspar.cli;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.version.ConfigurationJson;
import org.pollenspar.core.version.ConfigurationVersion;
import org.pollenspar.core.version.FleetFileParser;

/**
 * Applies a fleet file: replaces the configuration that the platform stores, by compare-and-swap.
 *
 * <p>Invariant: one apply operation creates at most one version. If the answer to a swap is lost,
 * the same swap is repeated with the same expected revision, so at most one attempt takes effect.
 * Whether one did is then read from the stored configuration, which lists the ids of the recent
 * apply operations. Reading the revision again before each attempt would be simpler but wrong: the
 * attempt would overwrite a version that another operator has applied in the meantime.
 */
final class Applier {
  private final ConfigurationStore store;
  private final Pause pause;
  private final int attempts;

  /**
   * Creates an applier.
   *
   * @param pause called between attempts
   * @param attempts maximum number of attempts for the read and for the swap
   */
  Applier(ConfigurationStore store, Pause pause, int attempts) {
    this.store = store;
    this.pause = pause;
    this.attempts = attempts;
  }

  /** Waits between two attempts. */
  @FunctionalInterface
  interface Pause {
    void await();
  }

  /**
   * A successful apply operation.
   *
   * @param version version that holds the file
   * @param changed whether this operation created the version; false if the stored configuration
   *     had the same text already
   */
  record ApplyResult(long version, boolean changed) {}

  /**
   * Applies the text of a fleet file, which the caller has checked.
   *
   * @param applyId random id of this operation, new for each operation
   * @param reviewedVersion version that must still be stored, or the apply is refused as a
   *     conflict; empty to accept any version
   * @return the result, or an error of kind {@code VERSION_CONFLICT} if another version was applied
   *     first, or {@code APPLY_UNCONFIRMED} if it is unknown whether this operation took effect
   */
  Either<PollensparError, ApplyResult> apply(
      String text, String author, String applyId, OptionalLong reviewedVersion) {
    Either<PollensparError, ConfigurationStore.Stored> read = readWithRetries();
    if (read.isLeft()) {
      return Either.left(read.getLeft());
    }
    Optional<ConfigurationVersion> current = read.get().version();
    long currentVersion = current.map(ConfigurationVersion::version).orElse(0L);
    if (reviewedVersion.isPresent() && reviewedVersion.getAsLong() != currentVersion) {
      return Either.left(conflict(current));
    }
    if (current.isPresent() && current.get().text().equals(text)) {
      return Either.right(new ApplyResult(currentVersion, false));
    }
    ConfigurationVersion next = ConfigurationVersion.successor(current, applyId, author, text);
    int bytes = ConfigurationJson.encode(next).getBytes(StandardCharsets.UTF_8).length;
    if (bytes > FleetFileParser.MAX_BYTES) {
      return Either.left(
          PollensparError.of(
              ErrorKind.FILE_TOO_LARGE, "as stored", bytes, FleetFileParser.MAX_BYTES));
    }
    return swapUntilResolved(next, read.get().revision());
  }

  private Either<PollensparError, ConfigurationStore.Stored> readWithRetries() {
    Either<PollensparError, ConfigurationStore.Stored> read = store.read();
    for (int i = 1; i < attempts && unavailable(read); i++) {
      pause.await();
      read = store.read();
    }
    return read;
  }

  private Either<PollensparError, ApplyResult> swapUntilResolved(
      ConfigurationVersion next, long revision) {
    for (int i = 0; i < attempts; i++) {
      Either<PollensparError, Boolean> swapped = store.swap(next, revision);
      if (swapped.isRight() && swapped.get()) {
        return Either.right(new ApplyResult(next.version(), true));
      }
      if (swapped.isLeft() && swapped.getLeft().kind() != ErrorKind.PLATFORM_UNAVAILABLE) {
        return Either.left(swapped.getLeft());
      }
      Either<PollensparError, ConfigurationStore.Stored> stored = store.read();
      if (stored.isRight() && stored.get().revision() != revision) {
        return resolveOutcome(next, stored.get().version());
      }
      pause.await();
    }
    return Either.left(PollensparError.of(ErrorKind.APPLY_UNCONFIRMED, next.applyId()));
  }

  /**
   * Determines the outcome from a configuration that was stored after the expected revision.
   *
   * <p>The configuration lists only the last {@link ConfigurationVersion#RECENT_LIMIT} operations.
   * If as many versions have followed, the absence of this operation from the list proves nothing.
   */
  private static Either<PollensparError, ApplyResult> resolveOutcome(
      ConfigurationVersion next, Optional<ConfigurationVersion> stored) {
    Optional<Long> createdVersion =
        stored.flatMap(version -> version.versionOfApply(next.applyId()));
    if (createdVersion.isPresent()) {
      return Either.right(new ApplyResult(createdVersion.get(), true));
    }
    long newest = stored.map(ConfigurationVersion::version).orElse(0L);
    if (newest - next.version() >= ConfigurationVersion.RECENT_LIMIT) {
      return Either.left(PollensparError.of(ErrorKind.APPLY_UNCONFIRMED, next.applyId()));
    }
    return Either.left(conflict(stored));
  }

  private static PollensparError conflict(Optional<ConfigurationVersion> stored) {
    return PollensparError.of(
        ErrorKind.VERSION_CONFLICT,
        stored.map(ConfigurationVersion::version).orElse(0L),
        stored.map(ConfigurationVersion::author).orElse("nobody"));
  }

  private static boolean unavailable(Either<PollensparError, ?> answer) {
    return answer.isLeft() && answer.getLeft().kind() == ErrorKind.PLATFORM_UNAVAILABLE;
  }
}
