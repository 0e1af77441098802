package org.pollenspar.core.request;

/**
 * A kind of work, declared in the fleet file.
 *
 * @param name name by which requests refer to it
 * @param rank urgency of its requests
 * @param access read or write
 * @param stalenessMillis age up to which a read may miss writes of other sessions; 0 if it may miss
 *     none
 * @param repeatable whether a write may run twice without harm; if not, callers must send an
 *     idempotency key
 * @param deadlineMillis deadline of requests that state none, and the longest that one may state
 */
public record WorkKind(
    String name,
    Rank rank,
    Access access,
    long stalenessMillis,
    boolean repeatable,
    long deadlineMillis) {}
