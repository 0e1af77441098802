package org.pollenspar.standin.version;

import java.util.List;

/**
 * Log entries that a primary sends to a replica.
 *
 * @param term term in which the sender is the primary
 * @param previousTerm term of the entry that precedes the first one sent; 0 at the start of the log
 * @param previousOffset offset of that entry
 * @param entries entries in log order; empty in a heartbeat, which only announces the term
 */
public record AppendRequest(
    long term, long previousTerm, long previousOffset, List<LogEntry> entries) {}
