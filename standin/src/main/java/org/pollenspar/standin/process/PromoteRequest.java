package org.pollenspar.standin.process;

import java.util.List;

/**
 * Order to a database to lead a term.
 *
 * @param term term
 * @param peers the other databases of the group
 */
public record PromoteRequest(long term, List<ReplicationPeer> peers) {}
