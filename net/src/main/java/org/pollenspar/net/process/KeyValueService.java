package org.pollenspar.net.process;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.pollenspar.core.process.PollensparError;

/**
 * The platform's key-value service. Calls block for at most their timeout. After an error of kind
 * {@code PLATFORM_UNAVAILABLE} it is unknown whether a change took effect.
 */
public interface KeyValueService {

  /** Reads a key; empty if it does not exist. */
  Either<PollensparError, Optional<StoredValue>> read(String key, Duration timeout);

  /**
   * Waits up to {@code wait} until the key's revision exceeds {@code afterRevision}.
   *
   * @return the new value; empty if nothing changed
   */
  Either<PollensparError, Optional<StoredValue>> watch(
      String key, long afterRevision, Duration wait);

  /**
   * Writes a key if its revision is {@code expectedRevision} (0: it must not exist).
   *
   * @param leaseId lease whose expiry deletes the key; empty for none
   * @return whether the write was applied, and the key's current revision
   */
  Either<PollensparError, SwapResult> compareAndSwap(
      String key, String value, long expectedRevision, Optional<String> leaseId, Duration timeout);

  /** Creates a lease that expires unless renewed within {@code ttl}; returns its id. */
  Either<PollensparError, String> createLease(Duration ttl, Duration timeout);

  /**
   * A value and its revision.
   *
   * @param value text
   * @param revision changes with each write of the key and never decreases
   */
  record StoredValue(String value, long revision) {}

  /**
   * Result of a compare-and-swap.
   *
   * @param applied whether the value was written
   * @param revision the key's revision after the call
   */
  record SwapResult(boolean applied, long revision) {}
}
