package org.pollenspar.core.request;

/**
 * One statement of a caller.
 *
 * @param id the caller's id of it, forwarded unchanged
 * @param statement what is asked
 * @param arrivedNanos steady time at which it was read
 */
public record SessionRequest(String id, SessionStatement statement, long arrivedNanos) {}
