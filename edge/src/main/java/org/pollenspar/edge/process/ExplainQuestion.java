package org.pollenspar.edge.process;

import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.Position;

/**
 * The question where a statement would go now.
 *
 * @param database database name that a caller would give
 * @param writes whether the statement writes
 * @param organisation organisation whose caller would send it; null if it is not stated
 * @param lastCommit last commit of the session; null for none
 */
public record ExplainQuestion(
    String database,
    boolean writes,
    @Nullable String organisation,
    @Nullable Position lastCommit) {}
