package org.pollenspar.core.request;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The result of one statement.
 *
 * @param columns names of the columns; empty for statements without rows
 * @param rows cells as text; null stands for SQL NULL
 * @param updated number of affected rows; 0 for queries
 */
public record ResultTable(
    List<String> columns, List<? extends List<@Nullable String>> rows, long updated) {}
