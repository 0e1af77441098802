package org.pollenspar.standin.version;

/**
 * Reply of a replica to an {@link AppendRequest}.
 *
 * @param accepted whether the entries were appended: the sender's term is current and the replica's
 *     log holds the entry that precedes the first one sent
 * @param stale whether the request was rejected because of its term: it is below the replica's
 *     fenced term, or the receiver is itself primary of this or a later term
 * @param offset offset of the last entry in the replica's log
 * @param lagMillis minimum age, in milliseconds, of the entries that this replica is to be sent;
 *     this simulates replication lag
 */
public record AppendReply(boolean accepted, boolean stale, long offset, long lagMillis) {}
