package org.pollenspar.core.request;

/**
 * One statement that a caller sent within a session.
 *
 * @param id id that the caller gave the statement, forwarded unchanged
 * @param statement the parsed statement
 * @param arrivedNanos monotonic time at which it was read
 */
public record SessionRequest(String id, SessionStatement statement, long arrivedNanos) {}
