package org.pollenspar.standin.version;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.pollenspar.standin.request.Column;

/**
 * One change within a committed transaction.
 *
 * @param table table
 * @param create columns if the table is created; null otherwise
 * @param key row; null if the table is created
 * @param row new values; null if the row is deleted or the table is created
 */
public record Change(
    String table,
    @Nullable List<Column> create,
    @Nullable String key,
    @Nullable List<@Nullable String> row) {}
