package org.pollenspar.core.process;

import java.util.ArrayDeque;
import org.jspecify.annotations.Nullable;

/**
 * The promotion calls for one group that may still take effect, as the holder of the failover lease
 * knows them.
 *
 * <p>A call is unresolved from the moment it is sent until the platform has refused it, or until
 * the database leads a newer term that no other call explains. Invariant: unresolved calls name one
 * database, the candidate of the stored record. So the next holder knows the database, though not
 * how many calls there are. A holder calls only while its lease holds, so all of them were sent
 * before a lease with a later fence than that of the last caller existed.
 *
 * <p>Not thread-safe: used by the thread that runs the {@link PrimaryChange}.
 */
final class PromotionCalls {
  /** How long after it was sent a call may still take effect. */
  static final long LATE_CALL_MS = 10_000;

  /** How long after the platform's answer a call may still take effect. */
  static final long ACCEPTED_CALL_MS = 5_000;

  private final Clocks clocks;

  /** When this host's unresolved calls were sent, in order. */
  private final ArrayDeque<Long> sentNanos = new ArrayDeque<>();

  private String database = "";
  private long knownTerm;
  private boolean inheritanceKnown;
  private boolean inherited;

  /** When this host knew that no earlier holder could send a call any more. */
  private long inheritedEndedNanos;

  private boolean accepted;
  private long acceptedNanos;
  private int callsOfChange;

  /**
   * Creates the state of a group that no earlier holder has called for.
   *
   * @param leaseTakenNanos when this host took the failover lease, on the steady clock
   */
  PromotionCalls(Clocks clocks, long leaseTakenNanos) {
    this.clocks = clocks;
    this.inheritedEndedNanos = leaseTakenNanos;
  }

  /**
   * Must be called when this host has written an intent. The first one replaces a record of an
   * earlier holder, whose calls are taken over.
   *
   * @param candidate candidate of the replaced record; empty if none
   * @param laterFenceSeenNanos when this host first saw a later fence than that of the last holder
   *     that may have called, on the steady clock; null if it hasn't or that holder isn't known
   */
  void changeBegins(String candidate, @Nullable Long laterFenceSeenNanos) {
    callsOfChange = 0;
    if (!inheritanceKnown) {
      inheritanceKnown = true;
      inherited = !candidate.isEmpty();
      database = candidate;
      if (laterFenceSeenNanos != null && laterFenceSeenNanos - inheritedEndedNanos < 0) {
        inheritedEndedNanos = laterFenceSeenNanos;
      }
    }
  }

  /** Returns the database that an unresolved call may still promote; empty if there is none. */
  String unresolved() {
    sentNanos.removeIf(sent -> millisSince(sent) >= LATE_CALL_MS);
    inherited &= millisSince(inheritedEndedNanos) < LATE_CALL_MS;
    accepted &= millisSince(acceptedNanos) < ACCEPTED_CALL_MS;
    return inherited || accepted || !sentNanos.isEmpty() ? database : "";
  }

  /** Returns whether an unresolved call may still promote another database. */
  boolean mayPromoteOtherThan(String other) {
    String unresolved = unresolved();
    return !unresolved.isEmpty() && !unresolved.equals(other);
  }

  /**
   * Must be called before a call is sent. No call for another database may be unresolved.
   *
   * @param term newest term of a primary that is known to have led before
   * @return number of the call within the change
   */
  int sent(String newDatabase, long term) {
    if (!newDatabase.equals(database)) {
      database = newDatabase;
      inherited = false;
      accepted = false;
      sentNanos.clear();
      knownTerm = term;
    }
    knownTerm = Math.max(knownTerm, term);
    sentNanos.add(clocks.steadyNanos());
    return ++callsOfChange;
  }

  /** Must be called when the last call was refused or could not be sent. */
  void notExecuted() {
    sentNanos.pollLast();
  }

  /** Must be called when the platform has answered that it executes the last call. */
  void accepted() {
    sentNanos.pollLast();
    accepted = true;
    acceptedNanos = clocks.steadyNanos();
  }

  /** Returns whether a call has taken effect if the called database leads this term. */
  boolean tookEffectIn(long term) {
    return term > knownTerm;
  }

  /**
   * Must be called when a database was seen leading a term. Each newer term of the called one
   * resolves one call: an accepted one, or this host's earliest if there are no inherited ones.
   */
  void leads(String leader, long term) {
    if (!leader.equals(database) || !tookEffectIn(term)) {
      return;
    }
    knownTerm = term;
    boolean mayBeInherited = unresolved().equals(leader) && inherited;
    if (accepted) {
      accepted = false;
    } else if (!mayBeInherited) {
      sentNanos.pollFirst();
    }
  }

  private long millisSince(long nanos) {
    return (clocks.steadyNanos() - nanos) / 1_000_000;
  }
}
