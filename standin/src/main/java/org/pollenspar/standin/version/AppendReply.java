package org.pollenspar.standin.version;

/**
 * Answer of a replica to an {@link AppendRequest}.
 *
 * @param accepted whether the entry before the first one sent was found and the term is current
 * @param stale whether the sender's term is older than a fence of the replica
 * @param offset last entry that the replica holds
 * @param lagMillis how long the replica wants entries to be held back
 */
public record AppendReply(boolean accepted, boolean stale, long offset, long lagMillis) {}
