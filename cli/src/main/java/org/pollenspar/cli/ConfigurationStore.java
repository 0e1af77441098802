package org.pollenspar.cli;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.version.ConfigurationJson;
import org.pollenspar.core.version.ConfigurationVersion;
import org.pollenspar.net.process.KeyValueService;

/** Reads and replaces the configuration in the platform's key-value service. */
final class ConfigurationStore {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final KeyValueService keyValues;

  ConfigurationStore(KeyValueService keyValues) {
    this.keyValues = keyValues;
  }

  /**
   * The stored configuration.
   *
   * @param version configuration version; empty before the first apply
   * @param revision revision of the key, which a compare-and-swap must expect; 0 before the first
   *     apply
   */
  record Stored(Optional<ConfigurationVersion> version, long revision) {}

  Either<PollensparError, Stored> read() {
    return keyValues
        .read(ConfigurationJson.KEY, TIMEOUT)
        .flatMap(
            stored ->
                stored.isEmpty()
                    ? Either.right(new Stored(Optional.empty(), 0))
                    : ConfigurationJson.decode(stored.get().value())
                        .map(v -> new Stored(Optional.of(v), stored.get().revision())));
  }

  /** Stores a version; returns false if the stored revision was not the expected one. */
  Either<PollensparError, Boolean> swap(ConfigurationVersion version, long expectedRevision) {
    return keyValues
        .compareAndSwap(
            ConfigurationJson.KEY,
            ConfigurationJson.encode(version),
            expectedRevision,
            Optional.empty(),
            TIMEOUT)
        .map(KeyValueService.SwapResult::applied);
  }
}
