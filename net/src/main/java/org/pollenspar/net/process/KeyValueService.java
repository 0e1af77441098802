package org.pollenspar.net.process;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.pollenspar.core.process.PollensparError;

/**
 * The platform's key-value service. Calls block for at most their timeout; a left side of kind
 * {@code PLATFORM_UNAVAILABLE} leaves open whether a change took effect.
 */
public interface KeyValueService {

  /** Reads a key; empty if it does not exist. */
  Either<PollensparError, Optional<StoredValue>> read(String key, Duration timeout);

  /**
   * Waits until the key's revision exceeds {@code afterRevision}, at most {@code wait}.
   *
   * @return the new value; empty if nothing changed
   */
  Either<PollensparError, Optional<StoredValue>> watch(
      String key, long afterRevision, Duration wait);

  /**
   * Writes a key if its revision is {@code expectedRevision} (0: it must not exist).
   *
   * @param leaseId lease that deletes the key when it lapses; empty for none
   * @return whether the write was applied, and the key's current revision
   */
  Either<PollensparError, SwapResult> compareAndSwap(
      String key, String value, long expectedRevision, Optional<String> leaseId, Duration timeout);

  /** Creates a lease that lapses unless renewed within {@code ttl}. Returns its id. */
  Either<PollensparError, String> createLease(Duration ttl, Duration timeout);

  /**
   * A value and its revision.
   *
   * @param value text
   * @param revision changes with each write of the key and never goes back
   */
  record StoredValue(String value, long revision) {}

  /**
   * Answer to a compare-and-swap.
   *
   * @param applied whether the value was written
   * @param revision the key's revision after the call
   */
  record SwapResult(boolean applied, long revision) {}
}
