package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ClockReading;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Confirmation;

/**
 * The hosts that coordinated one organisation beside this host, were replaced, and may not know it.
 *
 * <p>A host that is cut off when it is replaced goes on granting until its confirmation expires.
 * Without this record, the remaining coordinator and the successor grant the whole rate beside it.
 *
 * <p>A former coordinator is forgotten when it acknowledges that it coordinates the organisation no
 * longer, when it isn't a member any more (a host withdraws its confirmation before it removes its
 * record, and others remove the record only after the confirmation has expired), and at the latest
 * when its confirmation must have expired. A former second also counts as harmless while its last
 * promise to grant nothing by itself is recent, so a replacement of a host that answers costs
 * nothing.
 */
final class FormerCoordinators {
  /** Time after which a host that was cut off earlier has no confirmation any more. */
  static final long CUT_OFF_MS = Confirmation.VALID_MS + 500;

  /**
   * A former coordinator.
   *
   * @param since when it was replaced
   * @param first whether it was the first coordinator
   * @param heardAt last evidence of it: of a second, when the heartbeat was sent that it
   *     acknowledged last; of a first, when its last heartbeat arrived
   */
  private record Former(ClockReading since, boolean first, ClockReading heardAt) {}

  private final Clocks clocks;
  private final long silenceMillis;
  private final Map<String, Former> byName = new HashMap<>();

  /**
   * Creates an empty record.
   *
   * @param silenceMillis age from which on the evidence of a host counts as silence
   */
  FormerCoordinators(Clocks clocks, long silenceMillis) {
    this.clocks = clocks;
    this.silenceMillis = silenceMillis;
  }

  /** Records that a host was replaced now. */
  void replaced(String name, boolean first, ClockReading heardAt) {
    byName.put(name, new Former(ClockReading.now(clocks), first, heardAt));
  }

  /** Forgets those that aren't members any more. */
  void retain(Predicate<String> members) {
    byName.keySet().removeIf(name -> !members.test(name));
  }

  /** Records that a former second promised to follow this host, by a heartbeat sent then. */
  void promised(String name, ClockReading sentAt) {
    byName.computeIfPresent(
        name,
        (key, known) ->
            known.first() || sentAt.steadyNanos() < known.heardAt().steadyNanos()
                ? known
                : new Former(known.since(), false, sentAt));
  }

  /** Records that a host grants nothing, or coordinates the organisation again. */
  void forget(String name) {
    byName.remove(name);
  }

  /** Returns when a former second promised last to grant nothing; null if it isn't one. */
  @Nullable ClockReading promiseOf(String name) {
    @Nullable Former known = byName.get(name);
    return known == null || known.first() ? null : known.heardAt();
  }

  boolean contains(String name) {
    return byName.containsKey(name);
  }

  /** Returns the names of all whose confirmations may still hold. */
  Set<String> names() {
    byName.values().removeIf(each -> each.since().ageMillis(clocks) >= CUT_OFF_MS);
    return Set.copyOf(byName.keySet());
  }

  /** Returns for how long one of these hosts may still grant half of the rate; 0 if none may. */
  long sharedMillis() {
    long most = 0;
    for (Former each : byName.values()) {
      if (each.first() || silent(each)) {
        most = Math.max(most, CUT_OFF_MS - each.since().ageMillis(clocks));
      }
    }
    return most;
  }

  /** Returns whether a former first may still grant the whole rate. */
  boolean anyAtFullRate() {
    return byName.values().stream().anyMatch(each -> each.first() && !silent(each));
  }

  /** Returns whether a host was replaced less than so many milliseconds ago. */
  boolean anyYoungerThan(long millis) {
    return byName.values().stream().anyMatch(each -> each.since().ageMillis(clocks) < millis);
  }

  private boolean silent(Former former) {
    return former.heardAt().ageMillis(clocks) >= silenceMillis;
  }
}
