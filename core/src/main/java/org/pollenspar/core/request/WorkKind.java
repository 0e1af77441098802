package org.pollenspar.core.request;

/**
 * A kind of work, declared in the applied file.
 *
 * @param name name that callers send
 * @param rank its rank
 * @param access read or write
 * @param stalenessMillis age that a read accepts, beyond its session's own writes; 0 for none
 * @param repeatable whether a write may run twice without harm; if not, callers must send a key
 * @param deadlineMillis deadline when the caller names none, and the most it may name
 */
public record WorkKind(
    String name,
    Rank rank,
    Access access,
    long stalenessMillis,
    boolean repeatable,
    long deadlineMillis) {}
