package org.pollenspar.core.version;

import org.jspecify.annotations.Nullable;

/**
 * A customer of the operators, whose callers identify themselves by keys.
 *
 * @param name name that databases are told
 * @param limit limit on its operations over all hosts; null if there is none
 */
public record Organisation(String name, @Nullable RateLimit limit) {

  /**
   * Limit on a rate.
   *
   * @param perSecond operations a second that may run for any length of time
   * @param burst operations that may run beyond that at once
   */
  public record RateLimit(double perSecond, double burst) {}
}
