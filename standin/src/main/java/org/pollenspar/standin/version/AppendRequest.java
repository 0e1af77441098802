package org.pollenspar.standin.version;

import java.util.List;

/**
 * Log entries that a primary sends to a replica.
 *
 * @param term term of the primary
 * @param previousTerm term of the entry before the first one sent; 0 at the start of the log
 * @param previousOffset offset of that entry
 * @param entries entries in order; empty to announce the term
 */
public record AppendRequest(
    long term, long previousTerm, long previousOffset, List<LogEntry> entries) {}
