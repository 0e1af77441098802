package org.pollenspar.core.version;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * The newest configuration version that this process has seen. Safe for use by several threads.
 *
 * <p>Invariant: the version never goes back, in whatever order offers arrive (P9). A plain volatile
 * field fails here, since two threads may check it and then write in the wrong order.
 */
public final class VersionHolder {
  private final AtomicReference<@Nullable ConfigurationVersion> newest = new AtomicReference<>();

  /** Takes a version if it is newer than the held one; returns whether it was taken. */
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

  /** Returns the newest version; empty before the first. */
  public Optional<ConfigurationVersion> current() {
    return Optional.ofNullable(newest.get());
  }

  /** Returns the number of the newest version; 0 before the first. */
  public long version() {
    return current().map(ConfigurationVersion::version).orElse(0L);
  }
}
