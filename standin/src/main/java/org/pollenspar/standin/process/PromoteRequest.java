package org.pollenspar.standin.process;

import java.util.List;

/**
 * Request to a database to become the primary of a term.
 *
 * @param term term of the new primary
 * @param peers the other databases of the group, to which it replicates its log
 */
public record PromoteRequest(long term, List<ReplicationPeer> peers) {}
