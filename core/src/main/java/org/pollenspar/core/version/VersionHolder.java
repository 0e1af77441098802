package org.pollenspar.core.version;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * The newest configuration version that this process has seen. Thread-safe.
 *
 * <p>Invariant P9 (see {@link org.pollenspar.core.process.Invariant}): the version never goes back,
 * in whatever order versions are offered. A volatile field would not ensure this, since two threads
 * can both pass the check and then write in the wrong order.
 */
public final class VersionHolder {
  private final AtomicReference<@Nullable ConfigurationVersion> newest = new AtomicReference<>();

  /** Replaces the version if the offered one is newer; returns whether it did. */
  public boolean offer(ConfigurationVersion offered) {
    while (true) {
      ConfigurationVersion current = newest.get();
      if (current != null && current.version() >= offered.version()) {
        return false;
      }
      if (newest.compareAndSet(current, offered)) {
        return true;
      }
    }
  }

  /** Returns the newest version; empty before the first one. */
  public Optional<ConfigurationVersion> current() {
    return Optional.ofNullable(newest.get());
  }

  /** Returns the number of the newest version; 0 before the first one. */
  public long version() {
    return current().map(ConfigurationVersion::version).orElse(0L);
  }
}
