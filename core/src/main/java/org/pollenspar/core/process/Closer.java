package org.pollenspar.core.process;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Collects resources and closes them in reverse order of registration.
 *
 * <p>Every resource is closed even if an earlier one fails; the first failure is thrown and later
 * ones are added to it as suppressed. Closing twice has no effect.
 */
public final class Closer implements AutoCloseable {
  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  /**
   * Registers a resource.
   *
   * @return the same resource
   */
  public synchronized <T extends AutoCloseable> T register(T resource) {
    resources.push(resource);
    return resource;
  }

  /** Closes all resources; a checked failure is wrapped in an {@link IllegalStateException}. */
  @Override
  public synchronized void close() {
    Exception first = null;
    while (!resources.isEmpty()) {
      first = closeOne(resources.pop(), first);
    }
    if (first instanceof RuntimeException runtime) {
      throw runtime;
    }
    if (first != null) {
      throw new IllegalStateException(first);
    }
  }

  private static @Nullable Exception closeOne(AutoCloseable resource, @Nullable Exception first) {
    try {
      resource.close();
      return first;
    } catch (Exception e) {
      if (first == null) {
        return e;
      }
      first.addSuppressed(e);
      return first;
    }
  }
}
